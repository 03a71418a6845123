"""How far a fact spreads, by the prefix of its key."""

import enum

_LOCAL_PREFIX = "local/"
_RELAY_PREFIX = "relay/"
_URGENT_PREFIX = "urgent/"


class Scope(enum.Enum):
    """The hosts that a fact is for."""

    GLOBAL = "global"
    LOCAL = "local"
    RELAY = "relay"


def scope_of(key: str) -> Scope:
    """Returns the scope of a fact.

    Args:
        key: Its key.
    """
    if key.startswith(_LOCAL_PREFIX):
        return Scope.LOCAL
    if key.startswith(_RELAY_PREFIX):
        return Scope.RELAY
    return Scope.GLOBAL


def is_urgent(key: str) -> bool:
    """Returns whether a fact has an allowance apart from other facts.

    Args:
        key: Its key; users mark an urgent one by the prefix `urgent/`.
    """
    is_internal = scope_of(key) is not Scope.GLOBAL
    return is_internal or key.startswith(_URGENT_PREFIX)


def reach_prefix(own_data_centre: str) -> str:
    """Returns the prefix of what relays state of other data centres."""
    return f"{_LOCAL_PREFIX}reach/{own_data_centre}/"


def complete_key(own_data_centre: str) -> str:
    """Returns the key of the revision that a data centre has prepared."""
    return f"{_LOCAL_PREFIX}complete/{own_data_centre}"


def barrier_key(own_data_centre: str) -> str:
    """Returns the key of the revision prepared in all data centres in reach."""
    return f"{_LOCAL_PREFIX}barrier/{own_data_centre}"


def relayed_key(data_centre: str) -> str:
    """Returns the key by which relays tell what their data centre prepared."""
    return f"{_RELAY_PREFIX}complete/{data_centre}"
