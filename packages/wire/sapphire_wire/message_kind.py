"""The kinds of control messages between hosts."""

import enum


class MessageKind(enum.IntEnum):
    """The kind of message that a sealed envelope carries.

    The values are part of the wire format; the value of a removed kind must
    not be assigned to another one.
    """

    RELAYED_PACKET = 1
    GOSSIP = 2
    HANDOVER_REQUEST = 3
    HANDOVER_PAGE = 4
    CONFIGURATION_NOTICE = 5
    SLOT_MESSAGE = 6
    SLOW_START_REQUEST = 7
    SLOW_START_ANSWER = 8
