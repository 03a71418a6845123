"""All hosts agree, without talking, on the few that watch the store."""

from sapphire_core.configuration import store_followers

centres = ("tacoma", "salem", "spokane")
home = {f"h{n}": centres[n % 3] for n in range(9)}
before = store_followers.select(home)
home.pop(min(before))
print(sorted(before), sorted(store_followers.select(home)))
