"""Roles of TLS peers, read from their certificates.

In the subject of a certificate, the organizational unit is the role, and the
common name is the name of the host or operator.
"""

from collections.abc import Mapping
import contextvars
import dataclasses
import enum
from typing import Any

import expression

from sapphire_net.trust import failures


class Role(enum.StrEnum):
    """The role of a TLS peer, which decides what it may do."""

    HOST = "host"
    OPERATOR = "operator"


ANY_ROLE = frozenset(Role)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """An authenticated TLS peer.

    Attributes:
        name: The common name of its certificate.
        role: The role in its certificate.
    """

    name: str
    role: Role


# The peer of the TLS connection that the current task handles.
TLS_PEER: contextvars.ContextVar[Identity | None] = contextvars.ContextVar(
    "sapphirearch_tls_peer", default=None
)


def identify(
    certificate: Mapping[str, Any] | None, permitted: frozenset[Role]
) -> expression.Result[Identity, failures.RoleRefused]:
    """Reads the identity from a verified certificate.

    Args:
        certificate: The result of `ssl.SSLObject.getpeercert`.
        permitted: The permitted roles.

    Returns:
        The identity, or why the peer is refused.
    """
    names = _subject_values(certificate, "commonName")
    units = _subject_values(certificate, "organizationalUnitName")
    name = names[0] if len(names) == 1 else ""
    # A subject with several units is ambiguous and counts as without a role.
    unit = units[0] if len(units) == 1 else ""
    if not name or unit not in permitted:
        return expression.Error(
            failures.RoleRefused(
                subject=name, role=unit, required=tuple(sorted(permitted))
            )
        )
    return expression.Ok(Identity(name=name, role=Role(unit)))


def _subject_values(
    certificate: Mapping[str, Any] | None, wanted: str
) -> list[str]:
    """Returns the values of one attribute of a certificate's subject."""
    values: list[str] = []
    for relative_name in (certificate or {}).get("subject", ()):
        for attribute, value in relative_name:
            if attribute == wanted:
                values.append(value)
    return values
