"""Builders of simulated fleets for tests and measurements."""

from sapphire_core.membership import data
from sapphire_data import records
from sapphire_lab.membership import network

_CONTROL_PORT = 7_000


def addresses(data_centres: int, hosts_each: int) -> list[records.HostAddress]:
    """Returns the addresses of a fleet, data centre by data centre.

    Args:
        data_centres: The number of data centres.
        hosts_each: The number of hosts in each.
    """
    hosts: list[records.HostAddress] = []
    for centre in range(data_centres):
        for index in range(hosts_each):
            address = f"10.{centre}.{index >> 8}.{index & 255}"
            hosts.append(
                network.host_address(
                    f"h{centre}-{index}", f"dc{centre}", address
                )
            )
    return hosts


def seeds(hosts: list[records.HostAddress]) -> tuple[data.Seed, ...]:
    """Returns the addresses of hosts as seeds."""
    return tuple(data.Seed(host.address, _CONTROL_PORT) for host in hosts)


def joined_fleet(
    seed: int, data_centres: int = 3, hosts_each: int = 3
) -> network.Network:
    """Returns a fleet whose hosts have joined, after 5 s of simulated time.

    Args:
        seed: The seed of all random choices.
        data_centres: The number of data centres.
        hosts_each: The number of hosts in each.
    """
    net = network.Network(seed)
    hosts = addresses(data_centres, hosts_each)
    for host in hosts:
        net.start(host, seeds(hosts[::hosts_each]))
    net.run(5_000)
    return net


def preloaded_fleet(
    seed: int, data_centres: int, hosts_each: int
) -> network.Network:
    """Returns a fleet whose hosts know each other from the start.

    The hosts of a large fleet do not all start at once in practice, so its
    measurement must not include the backlog of such a start.

    Args:
        seed: The seed of all random choices.
        data_centres: The number of data centres.
        hosts_each: The number of hosts in each, two or more.
    """
    net = network.Network(seed, records_views=False)
    hosts = addresses(data_centres, hosts_each)
    entries = tuple(
        data.MemberEntry(
            host, network.FIRST_INCARNATION, records.MemberState.ALIVE
        )
        for host in hosts
    )
    for index, host in enumerate(hosts):
        core = net.start(host, seeds(hosts[::hosts_each])).core
        is_last = index % hosts_each == hosts_each - 1
        origin = entries[index - 1 if is_last else index + 1]
        page = data.GossipMessage(
            data.MessageKind.SYNC_PAGE, 0, origin, members=entries
        )
        core.receive(page, origin.host.host_id, 0)
    return net
