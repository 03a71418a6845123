"""Two hosts discover each other through their seeds."""

from sapphire_core.membership import data
from sapphire_core.membership import membership
from sapphire_data import records

PORT = 7_000
hosts = [
    records.HostAddress(f"h{n}", "tacoma", f"10.0.0.{n}", PORT, PORT + 1)
    for n in (1, 2)
]
seeds = [data.Seed(host.address, PORT) for host in hosts]
memberships = {
    host.address: membership.Membership(host, 1, seeds, rng_seed=7)
    for host in hosts
}
actions: list[tuple[str, data.Action]] = []
for now_ms in range(0, 3_000, 50):
    for address, core in memberships.items():
        actions.extend((address, action) for action in core.tick(now_ms))
    while actions:
        address, action = actions.pop(0)
        if isinstance(action, data.SendGossip):
            sender_id = action.message.origin.host.host_id
            core = memberships[action.address]
            answers = core.receive(action.message, sender_id, now_ms)
            actions.extend((action.address, answer) for answer in answers)
print(sorted(memberships["10.0.0.1"].view().members_by_id))
