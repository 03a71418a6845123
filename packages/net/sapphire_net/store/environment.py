"""An environment, such as trial or production: its store and its keys."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from sapphire_net import pauses
from sapphire_net.store import interface


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """The store of an environment and the names of its keys.

    Attributes:
        store: The store.
        prefix: The prefix of all its keys, such as `sapphire/trial/`.
        sleep_ms: Sleeps between attempts; a test may replace it.
    """

    store: interface.Store
    prefix: str
    sleep_ms: Callable[[int], Awaitable[None]] = pauses.sleep_ms

    @property
    def head_key(self) -> str:
        """The key of the head of the revision in force."""
        return f"{self.prefix}head"

    @property
    def collector_key(self) -> str:
        """The key that each deletion of unused keys changes."""
        return f"{self.prefix}collector"

    @property
    def collection_lease_key(self) -> str:
        """The key of the lease for deleting unused keys."""
        return f"{self.prefix}leases/collection"

    @property
    def housekeeping_lease_key(self) -> str:
        """The key of the lease for truncating pool histories."""
        return f"{self.prefix}leases/housekeeping"

    @property
    def history_prefix(self) -> str:
        """The prefix of the keys of the heads of all kept revisions."""
        return f"{self.prefix}history/"

    @property
    def claims_prefix(self) -> str:
        """The prefix of the keys of claimed request ids."""
        return f"{self.prefix}claims/"

    @property
    def parts_prefix(self) -> str:
        """The prefix of the keys of all parts."""
        return f"{self.prefix}parts/"

    @property
    def sources_prefix(self) -> str:
        """The prefix of the keys of manifests of documents and bindings."""
        return f"{self.prefix}sources/"

    @property
    def chunks_prefix(self) -> str:
        """The prefix of the keys of chunks of documents and bindings."""
        return f"{self.prefix}chunks/"

    def history_key(self, revision: int) -> str:
        """Returns the key of the head of a revision."""
        return f"{self.history_prefix}{revision:012d}"

    def part_key(self, digest: bytes) -> str:
        """Returns the key of a part."""
        return f"{self.parts_prefix}{digest.hex()}"

    def source_key(self, digest: str) -> str:
        """Returns the key of the manifest of a document or of bindings."""
        return f"{self.sources_prefix}{digest}"

    def chunk_key(self, digest: bytes) -> str:
        """Returns the key of a chunk of documents or bindings."""
        return f"{self.chunks_prefix}{digest.hex()}"
