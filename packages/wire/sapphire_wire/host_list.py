"""Validates the file in which the platform lists live and leaving hosts.

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
        address: The host's IP address.
        control_port: The host's UDP port of control messages.
        leaving: Whether the platform is removing the host.
    """

    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    control_port: settings.Port
    leaving: bool = False


class HostList(validation.StrictModel):
    """The platform's list of hosts, which may be out of date.

    Attributes:
        hosts: The hosts.
    """

    hosts: tuple[ListedHost, ...] = pydantic.Field(max_length=MAX_HOSTS)


def parse(
    text: bytes, source: str
) -> tuple[HostList | None, list[failures.Failure]]:
    """Decodes and validates a host list.

    Args:
        text: The encoded text; it may hold arbitrary bytes.
        source: The name of the input in failures.

    Returns:
        The list, or None if the text is invalid; and all errors.
    """
    return validation.parse(HostList, text, source)
