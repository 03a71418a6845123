"""The requests by which hosts pull items from each other over HTTP."""

import dataclasses

from sapphire_core.replication import data

# The first segments of the paths of pull requests.
_ITEMS = "items"
_REMOVED = "removed"
_CARRIED = "carried"
# The path at which a host tells its flow pins.
FLOW_PINS_PATH = "/flow_pins"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRequest:
    """A pull request to a peer.

    Attributes:
        scope: The scope.
        after_revision: The revision after which changes are requested; None to
            request the removed items, or what is carried.
        era: The era that this revision belongs to, or in which the asking host
            has the items of the store.
        is_for_carried: Whether it asks for what the peer carries from before
            the store came back from an older copy.
    """

    scope: data.Scope
    after_revision: int | None
    era: int = 0
    is_for_carried: bool = False

    @property
    def path(self) -> str:
        """The path, such as `/items/1/530`, `/items/1/7/530` or `/removed/2`.

        What is carried is at `/carried/1/7`. The era 0, of a store that names
        none, is left out.
        """
        if self.is_for_carried:
            return f"/{_CARRIED}/{self.scope.value}/{self.era}"
        if self.after_revision is None:
            return f"/{_REMOVED}/{self.scope.value}"
        era = f"{self.era}/" if self.era else ""
        return f"/{_ITEMS}/{self.scope.value}/{era}{self.after_revision}"


def parse_request_path(path: str) -> PeerRequest | None:
    """Parses the path of a pull request; None if it is invalid.

    Args:
        path: The path, in the format of `PeerRequest.path`.
    """
    scopes = {str(scope.value): scope for scope in data.Scope}
    match path.split("/"):
        case ["", kind, scope, after] if kind == _ITEMS and scope in scopes:
            if after.isdecimal():
                return PeerRequest(scopes[scope], int(after))
        case ["", kind, scope, era, after] if (
            kind == _ITEMS and scope in scopes
        ):
            if era.isdecimal() and after.isdecimal():
                return PeerRequest(scopes[scope], int(after), int(era))
        case ["", kind, scope] if kind == _REMOVED and scope in scopes:
            return PeerRequest(scopes[scope], None)
        case ["", kind, scope, era] if kind == _CARRIED and scope in scopes:
            if era.isdecimal():
                return PeerRequest(
                    scopes[scope], None, int(era), is_for_carried=True
                )
    return None
