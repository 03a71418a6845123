"""Tracks the configuration revisions that a host prepares and activates."""

from collections.abc import Mapping

from sapphire_data import records

MAX_PENDING_REVISIONS = 16


class RevisionTracker:
    """The active revision, and newer ones that are known or prepared.

    Attributes:
        active_digest: The digest of the configuration in force, or an empty
            text.
        service_by_upstream: The name of the service of each upstream, by the
            revision prepared last.
    """

    def __init__(self) -> None:
        """Creates a tracker to which no revision is known."""
        self.active_digest = ""
        self.service_by_upstream: Mapping[str, str] = {}
        self._active_revision = 0
        self._active_out_data_centres: frozenset[str] = frozenset()
        self._pending_by_revision: dict[int, records.Configuration] = {}
        self._newest_revision = 0
        self._newer_since_ms: int | None = None

    def record_prepared(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Records a configuration that the host prepares.

        Args:
            configuration: The configuration.
            now_ms: The monotonic time.
        """
        self.record_newer_revision(configuration.revision, now_ms)
        self._pending_by_revision[configuration.revision] = configuration
        while len(self._pending_by_revision) > MAX_PENDING_REVISIONS:
            del self._pending_by_revision[min(self._pending_by_revision)]
        self.service_by_upstream = {
            upstream: name
            for name, service in configuration.services_by_name.items()
            for upstream in service.upstreams_by_name
        }

    def record_newer_revision(self, revision: int, now_ms: int) -> None:
        """Records that a revision exists, whether or not it is fetched.

        Args:
            revision: The revision.
            now_ms: The monotonic time.
        """
        if revision <= self._newest_revision:
            return
        self._newest_revision = revision
        if self._newer_since_ms is None:
            self._newer_since_ms = now_ms

    def record_activated(self, revision: int) -> bool:
        """Records that a revision is in force.

        Args:
            revision: The revision.

        Returns:
            Whether it takes a data centre out of rotation or back in.
        """
        self._active_revision = revision
        if revision >= self._newest_revision:
            self._newer_since_ms = None
        configuration = self._pending_by_revision.get(revision)
        for done in [n for n in self._pending_by_revision if n <= revision]:
            del self._pending_by_revision[done]
        if configuration is None:
            return False
        self.active_digest = configuration.digest
        out_data_centres = frozenset(
            name
            for name, data_centre in configuration.data_centres_by_name.items()
            if data_centre.state is records.DataCentreState.OUT
        )
        is_move = out_data_centres != self._active_out_data_centres
        self._active_out_data_centres = out_data_centres
        return is_move

    def lag_ms(self, now_ms: int) -> int:
        """Returns for how long a revision newer than the active one is known.

        Args:
            now_ms: The monotonic time.

        Returns:
            The time in milliseconds; 0 when the newest one is in force.
        """
        if self._newer_since_ms is None:
            return 0
        return max(0, now_ms - self._newer_since_ms)
