"""Requests items from peers over HTTP."""

import logging

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_net import http1
from sapphire_node.entry import host_state
from sapphire_node.entry import peer_requests
from sapphire_wire import flow_pin_list
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# The first bytes of a response take a few network delays, and longer while the
# peer serves others.
PULL_TIMEOUT_MS = 1_000


async def request_flow_pins(
    state: host_state.HostState, contact: peer_data.Contact
) -> tuple[flow_data.FlowPin, ...] | None:
    """Requests the flow pins of one peer.

    Args:
        state: The state of the process.
        contact: The peer.

    Returns:
        The pins; None if the peer has sent none, as those of earlier versions.
    """
    client = http1.Client((contact.address, contact.port))
    response = await client.call(
        "GET", peer_requests.FLOW_PINS_PATH, PULL_TIMEOUT_MS
    )
    await client.close()
    if isinstance(response, http1.CallFailure) or response.status != http1.OK:
        state.counts["flow_pins_not_told"] += 1
        return None
    pins = flow_pin_list.decode(response.body)
    if isinstance(pins, failures.Failure):
        event_log.log_failure(_LOG, "pull_failed", pins, peer=contact.host)
        return None
    return pins


async def request_batch(
    state: host_state.HostState,
    contact: peer_data.Contact,
    request: peer_requests.PeerRequest,
) -> data.Batch | pull_sources.PullOutcome:
    """Requests items from one peer; logs and counts why it sent none.

    Args:
        state: The state of the process.
        contact: The peer.
        request: What is asked for.

    Returns:
        The items, or what came of the request.
    """
    host = contact.host
    client = http1.Client((contact.address, contact.port))
    response = await client.call("GET", request.path, PULL_TIMEOUT_MS)
    await client.close()
    if isinstance(response, http1.CallFailure):
        state.counts["pull_failures"] += 1
        event_log.log_failure(_LOG, "pull_failed", response, peer=host)
        return pull_sources.PullOutcome.FAILED
    if response.status == http1.UNAVAILABLE:
        state.counts["pulls_deferred"] += 1
        return pull_sources.PullOutcome.BUSY
    if response.status != http1.OK:
        state.counts["pull_failures"] += 1
        event_log.log(
            _LOG,
            logging.WARNING,
            "pull_refused",
            peer=host,
            scope=request.scope.name,
            status=response.status,
        )
        return pull_sources.PullOutcome.FAILED
    batch = peer_messages.decode_batch(response.body)
    if isinstance(batch, failures.Failure):
        state.counts["pull_failures"] += 1
        event_log.log_failure(_LOG, "pull_failed", batch, peer=host)
        return pull_sources.PullOutcome.FAILED
    return batch
