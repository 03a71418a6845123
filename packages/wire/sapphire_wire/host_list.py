"""The platform's list of live and leaving hosts, as a file that it writes.

The file is JSON with comments::

    {
      "hosts": [
        {"address": "192.0.2.11", "control_port": 7400},
        {"address": "192.0.2.12", "control_port": 7400, "leaving": true},
      ],
    }
"""

import ipaddress

import pydantic

from sapphire_data import failures
from sapphire_wire import settings
from sapphire_wire import validation

MAX_HOSTS = 65_536


class ListedHost(validation.StrictModel):
    """A host as the platform lists it.

    Attributes:
        address: Its IP number.
        control_port: Its UDP port of control messages.
        leaving: Whether the platform takes it away.
    """

    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    control_port: settings.Port
    leaving: bool = False


class HostList(validation.StrictModel):
    """The platform's list; it may lag behind the truth.

    Attributes:
        hosts: The hosts.
    """

    hosts: tuple[ListedHost, ...] = pydantic.Field(max_length=MAX_HOSTS)


def parse(
    text: bytes, source: str
) -> tuple[HostList | None, list[failures.Failure]]:
    """Decodes and validates a host list.

    Args:
        text: The encoded text; it may hold anything.
        source: The name of the input for reports.

    Returns:
        The list, or None with every error of the input.
    """
    return validation.parse(HostList, text, source)
