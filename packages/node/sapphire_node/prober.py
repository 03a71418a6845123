"""The task that probes upstreams, each over a new connection.

Two hosts probe each upstream: the first two of its data centre in rendezvous
order, or of all hosts if its data centre has none. The number of probes that a
host sends is thus proportional to the number of upstreams per host.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import logging

import anyio
from anyio import abc
from anyio.streams import memory
import httpx
import xxhash

from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_node import messages

_LOGGER = logging.getLogger(__name__)

PROBE_INTERVAL_MS = 1_000
PROBE_TIMEOUT_MS = 600
PROBERS_PER_UPSTREAM = 2
MAX_PARALLEL_PROBES = 32
HEALTH_PATH = "/health"
BOOT_ID_FIELD = "x-boot-id"


class Prober:
    """Probes the upstreams that are assigned to this host."""

    def __init__(
        self,
        host_id: str,
        to_forwarder: memory.MemoryObjectSendStream[messages.ToForwarder],
    ) -> None:
        """Creates the prober.

        Args:
            host_id: The identity of this host.
            to_forwarder: The inbox of the forwarder, which gets the results.
        """
        self._host_id = host_id
        self._to_forwarder = to_forwarder
        self._members_by_id: Mapping[str, records.Member] = {}
        self._upstreams: tuple[records.Upstream, ...] = ()

    def set_view(self, view: records.MemberView) -> None:
        """Sets the view that the assignment of upstreams depends on.

        Args:
            view: The view of the membership.
        """
        self._members_by_id = view.members_by_id

    def set_configuration(self, configuration: records.Configuration) -> None:
        """Sets the configuration whose upstreams are probed.

        Args:
            configuration: The configuration.
        """
        self._upstreams = tuple(
            upstream
            for service in configuration.services_by_name.values()
            for upstream in service.upstreams_by_name.values()
        )

    async def run(self) -> None:
        """Probes at intervals until cancelled."""
        timeout = httpx.Timeout(PROBE_TIMEOUT_MS / clock.MS_PER_SECOND)
        # Each probe opens a new connection: a kept one would not show whether
        # the upstream still accepts connections.
        limits = httpx.Limits(max_keepalive_connections=0)
        async with httpx.AsyncClient(timeout=timeout, limits=limits) as client:
            while True:
                assigned = assigned_upstreams(
                    self._host_id, self._upstreams, self._members_by_id
                )
                async with anyio.create_task_group() as tasks:
                    await self._probe_all(client, assigned, tasks)
                    await anyio.sleep(PROBE_INTERVAL_MS / clock.MS_PER_SECOND)

    async def _probe_all(
        self,
        client: httpx.AsyncClient,
        assigned: Iterable[records.Upstream],
        tasks: abc.TaskGroup,
    ) -> None:
        """Starts a probe of each assigned upstream."""
        limiter = anyio.CapacityLimiter(MAX_PARALLEL_PROBES)
        for upstream in assigned:
            tasks.start_soon(self._probe, client, upstream, limiter)

    async def _probe(
        self,
        client: httpx.AsyncClient,
        upstream: records.Upstream,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        """Probes one upstream and sends the result to the forwarder."""
        address = upstream.address
        if ":" in address:
            address = f"[{address}]"
        url = f"http://{address}:{upstream.request_port}{HEALTH_PATH}"
        boot_id = ""
        is_reachable = False
        async with limiter:
            try:
                response = await client.get(url)
                is_reachable = True
                boot_id = response.headers.get(BOOT_ID_FIELD, "")
            except httpx.HTTPError as error:
                event_log.log(
                    _LOGGER,
                    logging.DEBUG,
                    "probe_failed",
                    upstream=upstream.name,
                    failure=type(error).__name__,
                )
            except Exception as error:
                # An upstream may answer anything.
                event_log.log_unexpected(
                    _LOGGER, "probe_failed", error, upstream=upstream.name
                )
        await self._to_forwarder.send(
            messages.UpstreamProbed(upstream.name, is_reachable, boot_id)
        )


def assigned_upstreams(
    host_id: str,
    upstreams: Iterable[records.Upstream],
    members_by_id: Mapping[str, records.Member],
) -> list[records.Upstream]:
    """Returns the upstreams that are assigned to a host for probing.

    Args:
        host_id: The identity of the host.
        upstreams: All upstreams.
        members_by_id: The live hosts; those that are leaving are left out.

    Returns:
        The upstreams, in the given order.
    """
    ids_by_data_centre: dict[str, list[str]] = {}
    for member_id, member in members_by_id.items():
        if member.state is records.MemberState.LEAVING:
            continue
        data_centre = member.host.data_centre
        ids_by_data_centre.setdefault(data_centre, []).append(member_id)
    all_ids = [
        member_id for ids in ids_by_data_centre.values() for member_id in ids
    ]
    assigned = []
    for upstream in upstreams:
        candidates = ids_by_data_centre.get(upstream.data_centre, all_ids)
        ranked = sorted(
            candidates, key=lambda item: _score(item, upstream.name)
        )
        if host_id in ranked[:PROBERS_PER_UPSTREAM]:
            assigned.append(upstream)
    return assigned


def _score(host_id: str, upstream: str) -> int:
    """Returns the rendezvous score of a host for an upstream."""
    return xxhash.xxh64_intdigest(f"{host_id}\0{upstream}".encode())
