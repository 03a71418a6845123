"""Applies changes of the store to the steering of this host, and logs them."""

import logging
from typing import Any

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_net import event_log
from sapphire_node.entry import host_state
from sapphire_node.entry import messages

_LOG = logging.getLogger(__name__)


class ChangeApplier:
    """Applies configurations, data centres and upstreams as they change.

    Args:
        steering: The steering of this host.
        state: The state of the process.
    """

    def __init__(
        self, steering: steering_lib.Steering, state: host_state.HostState
    ) -> None:
        self._steering = steering
        self._state = state

    def apply(
        self,
        versioned_change: messages.ChangeAtRevision,
        message: messages.NewChanges,
        now_ms: int,
    ) -> None:
        """Applies one change.

        Args:
            versioned_change: The change, with its position.
            message: The message that brought it.
            now_ms: The current time.
        """
        change = versioned_change.change
        table = self._steering.upstream_table
        event: str | None
        fields: dict[str, Any]
        if isinstance(change, data.ConfigurationChange):
            event, fields = self._configure(change.configuration)
        elif isinstance(change, data.DataCentreChange):
            table.set_out_of_rotation(change.data_centre, is_out=change.is_out)
            event = "data_centre_out" if change.is_out else "data_centre_in"
            fields = {"data_centre": change.data_centre}
        elif isinstance(change, data.UpstreamRemoval):
            event, fields = self._remove(
                change.upstream_id, message.removal_cause, now_ms
            )
        elif isinstance(change, data.FormerUpstream):
            table.put_former(
                change.upstream,
                versioned_change.revision,
                now_ms,
                versioned_change.era,
            )
            event = "former_upstream_known"
            fields = {"upstream": change.upstream.upstream_id}
        else:
            event, fields = self._put(change.upstream, versioned_change, now_ms)
        if event is None:
            return
        event_log.log(
            _LOG,
            logging.INFO,
            event,
            **fields,
            revision=versioned_change.revision,
            era=versioned_change.era,
            source=message.source,
        )

    def _configure(
        self, configuration: data.Configuration
    ) -> tuple[str | None, dict[str, Any]]:
        """Applies a configuration, unless a newer one is in force.

        Returns:
            The event to log, None for none, and its fields.
        """
        if not self._steering.configure(configuration):
            return None, {}
        self._state.configuration_version = configuration.version
        return "configuration_in_force", {
            "version": configuration.version,
            "routes": len(configuration.routes_by_endpoint),
        }

    def _remove(
        self, upstream_id: str, cause: data.RemovalCause, now_ms: int
    ) -> tuple[str | None, dict[str, Any]]:
        """Removes an upstream, if it is known; returns the event to log."""
        entry = self._steering.upstream_table.remove(upstream_id, now_ms, cause)
        if entry is None:
            return None, {}
        return "upstream_removed", {
            "upstream": upstream_id,
            "state": entry.upstream.state.value,
            "cause": cause.value,
        }

    def _put(
        self,
        upstream: data.Upstream,
        versioned_change: messages.ChangeAtRevision,
        now_ms: int,
    ) -> tuple[str | None, dict[str, Any]]:
        """Applies the registry entry of an upstream.

        Returns:
            The event to log; none for an entry that only refreshes a known
            upstream.
        """
        table = self._steering.upstream_table
        entry = table.by_id.get(upstream.upstream_id)
        former = entry.upstream if entry is not None else None
        was_removed = entry is not None and entry.removed_ms is not None
        table.put(
            upstream, versioned_change.revision, now_ms, versioned_change.era
        )
        if (
            former is not None
            and not was_removed
            and former.state is upstream.state
            and former.started_ms == upstream.started_ms
            and former.address == upstream.address
        ):
            return None, {}
        return "upstream_known", {
            "upstream": upstream.upstream_id,
            "service": upstream.service,
            "data_centre": upstream.data_centre,
            "address": f"{upstream.address[0]}:{upstream.address[1]}",
            "state": upstream.state.value,
            "cold_ms": upstream.cold_ms,
            "was_known": former is not None,
            "was_removed": was_removed,
        }
