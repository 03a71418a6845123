"""All hosts agree, without talking, on the few that watch the store."""

from sapphire_core.configuration import watchers

centres = ("tacoma", "salem", "spokane")
home = {f"h{n}": centres[n % 3] for n in range(9)}
before = watchers.choose(home)
home.pop(min(before))
print(sorted(before), sorted(watchers.choose(home)))
