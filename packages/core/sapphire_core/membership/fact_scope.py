"""To which hosts a fact is disseminated, by the prefix of its key."""

import enum

_LOCAL_PREFIX = "local/"
_RELAY_PREFIX = "relay/"
_URGENT_PREFIX = "urgent/"


class Scope(enum.Enum):
    """The hosts that a fact is disseminated to.

    Attributes:
        GLOBAL: All hosts. Facts of users of the membership have this scope.
        LOCAL: The hosts of the own data centre.
        RELAY: Hosts of other data centres, for exchange between relays.
    """

    GLOBAL = "global"
    LOCAL = "local"
    RELAY = "relay"


def scope_of(key: str) -> Scope:
    """Returns the scope of a fact.

    Args:
        key: The key of the fact.
    """
    if key.startswith(_LOCAL_PREFIX):
        return Scope.LOCAL
    if key.startswith(_RELAY_PREFIX):
        return Scope.RELAY
    return Scope.GLOBAL


def is_urgent(key: str) -> bool:
    """Returns whether a fact has priority and a rate limit of its own.

    Args:
        key: The key of the fact; users mark an urgent one by the prefix
            `urgent/`. Facts of local or relay scope are always urgent.
    """
    is_internal = scope_of(key) is not Scope.GLOBAL
    return is_internal or key.startswith(_URGENT_PREFIX)


def reach_prefix(own_data_centre: str) -> str:
    """Returns the key prefix of the reachability statements of relays."""
    return f"{_LOCAL_PREFIX}reach/{own_data_centre}/"


def complete_key(own_data_centre: str) -> str:
    """Returns the key of the revision that a whole data centre has prepared."""
    return f"{_LOCAL_PREFIX}complete/{own_data_centre}"


def barrier_key(own_data_centre: str) -> str:
    """Returns the key of the revision that reachable data centres prepared."""
    return f"{_LOCAL_PREFIX}barrier/{own_data_centre}"


def relayed_key(data_centre: str) -> str:
    """Returns the key under which relays exchange prepared revisions."""
    return f"{_RELAY_PREFIX}complete/{data_centre}"
