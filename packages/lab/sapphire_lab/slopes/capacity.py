"""The size to design for, and the costs of each role at that size."""

import math

from sapphire_lab.slopes import data

HOSTS = 7_000
DATA_CENTRES = 10
UPSTREAMS = 73_000
SERVICES = 24_000
OPEN_FLOWS = 210_000_000
NEW_FLOWS_PER_SECOND = 560_000
CHANGES_PER_DAY = 11_000
FAILURES_PER_DAY = 120
RESTARTS_PER_DAY = 4_800
SECONDS_PER_DAY = 86_400

HOSTS_PER_DATA_CENTRE = HOSTS // DATA_CENTRES
LOG_HOSTS = math.log2(HOSTS_PER_DATA_CENTRE)
CHANGES_PER_SECOND = CHANGES_PER_DAY / SECONDS_PER_DAY
# Routes are rebuilt when a revision is prepared, activated and retired.
REBUILDS_PER_CHANGE = 3
# A restart is a leave and a join. Each of them is disseminated like a crash.
EVENTS_PER_SECOND = (FAILURES_PER_DAY + 2 * RESTARTS_PER_DAY) / SECONDS_PER_DAY
JOINS_PER_HOST_AND_SECOND = RESTARTS_PER_DAY / HOSTS / SECONDS_PER_DAY
DEFAULT_BUCKETS = 1_021
BUCKETS = SERVICES * DEFAULT_BUCKETS
# Flows from before a change stay open for this long after it. Meanwhile half of
# the buckets of the service are ambiguous, and half of the flows there are not
# at the owner of the bucket in the oldest generation. Two replica hosts record
# each of those flows.
HISTORY_SECONDS = 14_400
AMBIGUOUS_SERVICES = CHANGES_PER_SECOND * HISTORY_SECONDS
RECORDED_FLOWS = OPEN_FLOWS * AMBIGUOUS_SERVICES / SERVICES / 4
RECORDS_PER_HOST = 2 * RECORDED_FLOWS / HOSTS
AMBIGUOUS_BUCKETS_PER_CHANGE = DEFAULT_BUCKETS / 2
# The size of a gossip message without updates, with its seal and headers. It
# turns bytes into a number of messages.
BYTES_PER_MESSAGE = 200
STORE_FOLLOWERS = 10

# The greatest sum of the costs of one role, for each resource.
LIMITS_BY_RESOURCE = {
    "bytes/s": 6_000.0,
    "% of a core": 1.2,
    "MB": 128.0,
    "writes/s": 300.0,
    "reads/s": 2_000.0,
}

_MB_PER_BYTE = 1e-6
_CORE_PERCENT_PER_US_PER_S = 1e-4
# The roles. Their names, and the texts of `COSTS`, are cells of the page.
_ENTRY_HOST = "entry host"
_RELAY = "relay between data centres"
_REPLICA_HOST = "keeper of exceptions"
_STORE_FOLLOWER = "host watching the store"
_STORE = "the platform's store"
_TOOL = "operators' tool"


def _cost(  # noqa: PLR0917 - the arguments are the cells of a row.
    role: str,
    resource: str,
    cause: str,
    mechanism: str,
    slope: str,
    size: float,
    times: float = 1.0,
) -> data.Cost:
    """Returns a cost whose scale follows from its resource."""
    scales = {"MB": _MB_PER_BYTE, "% of a core": _CORE_PERCENT_PER_US_PER_S}
    scale = scales.get(resource, 1.0)
    return data.Cost(
        role, resource, cause, mechanism, slope, size, times, scale
    )


COSTS: tuple[data.Cost, ...] = (
    _cost(
        _ENTRY_HOST,
        "bytes/s",
        "probes, sent and received",
        "constant probes per host within the data centre",
        "gossip_idle_bytes",
        HOSTS_PER_DATA_CENTRE,
    ),
    _cost(
        _ENTRY_HOST,
        "bytes/s",
        "heads and barriers of changes",
        "push to 3 peers, then prepared bits by powers of two",
        "gossip_change_bytes",
        LOG_HOSTS,
        CHANGES_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "bytes/s",
        "joins, leaves and deaths of hosts",
        "piggyback and push",
        "gossip_death_bytes",
        LOG_HOSTS,
        EVENTS_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "bytes/s",
        "whole state at the own start, over the life of a process",
        "pages from random peers",
        "gossip_join_bytes",
        HOSTS,
        JOINS_PER_HOST_AND_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "bytes/s",
        "head of each change, from a peer and to another",
        "atomic head, parts by digest",
        "head_bytes",
        UPSTREAMS,
        2 * CHANGES_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "bytes/s",
        "changed parts of each change, from a peer and to another",
        "parts by digest",
        "changed_part_bytes",
        UPSTREAMS,
        2 * CHANGES_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "membership core, idle",
        "no work that grows with the fleet in a tick",
        "gossip_core_us",
        HOSTS_PER_DATA_CENTRE,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "codec of 4 messages a second each way",
        "thrift compact protocol",
        "codec_us",
        0,
        4,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "sealing of 4 messages a second each way",
        "HMAC-SHA-256",
        "sealing_us",
        BYTES_PER_MESSAGE,
        4,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "codec of the messages of changes",
        "thrift compact protocol",
        "codec_us",
        1,
        CHANGES_PER_SECOND * 10_000 / 2 / BYTES_PER_MESSAGE,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "a new view for each change and event",
        "members of unchanged data centres are kept",
        "view_us",
        HOSTS_PER_DATA_CENTRE,
        2 * CHANGES_PER_SECOND + EVENTS_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "decoding of each configuration",
        "only parts that changed are decoded",
        "unpack_next_us",
        UPSTREAMS,
        CHANGES_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "% of a core",
        "routing tables of each configuration",
        "changed services are built, the others told by identity",
        "rebuild_us",
        SERVICES,
        REBUILDS_PER_CHANGE * CHANGES_PER_SECOND,
    ),
    _cost(
        _ENTRY_HOST,
        "MB",
        "known hosts and the view",
        "immutable entries, one view",
        "roster_memory",
        HOSTS,
    ),
    _cost(
        _ENTRY_HOST,
        "MB",
        "configuration",
        "one decoded configuration",
        "configuration_memory",
        UPSTREAMS,
    ),
    _cost(
        _ENTRY_HOST,
        "MB",
        "service-level counts, two objectives for each service",
        "rings of counts",
        "series_memory",
        2 * SERVICES,
    ),
    _cost(
        _ENTRY_HOST,
        "MB",
        "routing tables",
        "one decision for each bucket of each service",
        "route_memory",
        BUCKETS,
    ),
    _cost(
        _RELAY,
        "bytes/s",
        "probes within and between data centres",
        "two probes a second to other data centres, in turn",
        "relay_idle_bytes",
        DATA_CENTRES - 1,
    ),
    _cost(
        _RELAY,
        "bytes/s",
        "heads and barriers of changes",
        "one push to the relay of the same rank in each data centre",
        "relay_change_bytes",
        DATA_CENTRES - 1,
        CHANGES_PER_SECOND,
    ),
    _cost(
        _RELAY,
        "bytes/s",
        "joins, leaves and deaths of hosts",
        "as for a change",
        "relay_death_bytes",
        DATA_CENTRES - 1,
        EVENTS_PER_SECOND,
    ),
    _cost(
        _RELAY,
        "bytes/s",
        "head of each change, from a peer and to another",
        "atomic head, parts by digest",
        "head_bytes",
        UPSTREAMS,
        2 * CHANGES_PER_SECOND,
    ),
    _cost(
        _RELAY,
        "bytes/s",
        "changed parts of each change, from a peer and to another",
        "parts by digest",
        "changed_part_bytes",
        UPSTREAMS,
        2 * CHANGES_PER_SECOND,
    ),
    _cost(
        _REPLICA_HOST,
        "MB",
        "recorded flows",
        "three dictionaries by age",
        "exception_memory",
        RECORDS_PER_HOST,
    ),
    _cost(
        _REPLICA_HOST,
        "% of a core",
        "keepers of the ambiguous buckets of each change, if all are used",
        "rendezvous over all live hosts",
        "keeper_order_us",
        HOSTS,
        CHANGES_PER_SECOND * AMBIGUOUS_BUCKETS_PER_CHANGE,
    ),
    _cost(
        _STORE_FOLLOWER,
        "bytes/s",
        "head of each change, from the store",
        "one watch on the head",
        "head_bytes",
        UPSTREAMS,
        CHANGES_PER_SECOND,
    ),
    _cost(
        _STORE_FOLLOWER,
        "bytes/s",
        "changed parts of each change, from the store",
        "parts by digest",
        "changed_part_bytes",
        UPSTREAMS,
        CHANGES_PER_SECOND,
    ),
    _cost(
        _STORE,
        "writes/s",
        "changed parts and the head of each change",
        "one transaction on the head",
        "store_writes",
        UPSTREAMS,
        CHANGES_PER_SECOND,
    ),
    _cost(
        _STORE,
        "reads/s",
        "a watch event and part reads of each watching host",
        "one watching host in each data centre",
        "store_writes",
        UPSTREAMS,
        CHANGES_PER_SECOND * STORE_FOLLOWERS,
    ),
    _cost(
        _TOOL,
        "MB",
        "configuration before and after a change",
        "two decoded configurations",
        "configuration_memory",
        UPSTREAMS,
        2,
    ),
)
