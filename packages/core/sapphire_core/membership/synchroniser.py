"""Synchronises the state with peers: when joining and on differing digests."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import message_size
from sapphire_core.membership import state
from sapphire_core.membership import sync_pages
from sapphire_core.membership import token_bucket

_PAGE_TIMEOUT_MS = 300
_MAX_TIMEOUTS = 5
_PAGE_BYTES_PER_SECOND = 3_000
_PAGE_BURST_BYTES = 36_000
_DIGEST_KINDS = (data.MessageKind.PING, data.MessageKind.ACK)


class Synchroniser:
    """Requests state from peers and answers their requests.

    A host requests the whole state when it joins. Later it requests what
    differs, if the digest of a peer differs for long enough.
    """

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._session: sync_pages.SyncSession | None = None
        self._last_number = 0
        self._own_digest_at_difference: int | None = None
        self._differs_since_ms = 0
        self._page_token_bucket = token_bucket.TokenBucket(
            _PAGE_BYTES_PER_SECOND, _PAGE_BURST_BYTES
        )

    def handle_message(self, message: data.GossipMessage, now_ms: int) -> None:
        """Handles a message whose entries have been merged.

        Args:
            message: The message.
            now_ms: The time in milliseconds.
        """
        if message.kind is data.MessageKind.SYNC_REQUEST:
            self._send_page(message, now_ms)
            return
        if message.kind is data.MessageKind.SYNC_PAGE:
            self._handle_page(message, now_ms)
            return
        if message.kind in _DIGEST_KINDS:
            self._compare_digest(message, now_ms)

    def tick(self, now_ms: int) -> None:
        """Repeats the request for a page that has timed out.

        Args:
            now_ms: The time in milliseconds.
        """
        session = self._session
        if session is None or now_ms - session.requested_ms < _PAGE_TIMEOUT_MS:
            return
        session.timeouts += 1
        if session.timeouts > _MAX_TIMEOUTS:
            self._session = None
            return
        self._request_page(session, now_ms)

    def _compare_digest(self, message: data.GossipMessage, now_ms: int) -> None:
        """Starts a synchronisation if this host has not joined or differs.

        Only a difference that lasts for `sync_interval_ms` starts one.
        """
        shared = self._state
        if self._session is not None:
            return
        if not shared.freshness.is_joined:
            self._start_session((), now_ms, message.origin)
            return
        digest = shared.digest()
        if not shared.is_remote(message.origin):
            digest ^= shared.facts.local_digest
        if message.digest == digest:
            return
        # A peer with an equal digest does not restart the interval, because it
        # may lack the same updates. Updates still on their way to this host
        # would have changed its own digest within the interval.
        state_digest = shared.digest() ^ shared.facts.local_digest
        if self._own_digest_at_difference != state_digest:
            self._own_digest_at_difference = state_digest
            self._differs_since_ms = now_ms
        differs_ms = now_ms - self._differs_since_ms
        if differs_ms < shared.settings.sync_interval_ms:
            return
        self._differs_since_ms = now_ms
        self._start_session(
            shared.members.bucket_digests(), now_ms, message.origin
        )

    def _start_session(
        self,
        bucket_digests: tuple[int, ...],
        now_ms: int,
        peer: data.MemberEntry,
    ) -> None:
        """Starts a synchronisation with a peer."""
        self._last_number += 1
        # Only this peer is known to differ; another one may lack the same
        # state. A join instead requests its further pages from random peers.
        peer_id = peer.host.host_id if bucket_digests else ""
        self._session = sync_pages.SyncSession(
            self._last_number, bucket_digests, 0, now_ms, peer_id
        )
        self._send_request(self._session, peer, now_ms)

    def _request_page(
        self, session: sync_pages.SyncSession, now_ms: int
    ) -> None:
        """Requests the next page.

        A join requests each page from a random local peer, to distribute the
        load, or from a relay of another data centre if there is none.
        """
        shared = self._state
        if session.peer_id:
            known = shared.members.live_entry(session.peer_id)
            if known is None:
                self._session = None
                return
            self._send_request(session, known, now_ms)
            return
        peer_ids = shared.sample_local_peers(1)
        if not peer_ids:
            for name in shared.other_data_centres():
                peer_ids.extend(shared.relays(name)[:1])
        if not peer_ids:
            self._session = None
            return
        peer = shared.members.entries_by_id[peer_ids[0]]
        self._send_request(session, peer, now_ms)

    def _send_request(
        self,
        session: sync_pages.SyncSession,
        peer: data.MemberEntry,
        now_ms: int,
    ) -> None:
        """Sends a request for the next page to a peer."""
        session.requested_ms = now_ms
        message = dataclasses.replace(
            self._state.new_message(
                data.MessageKind.SYNC_REQUEST, session.number
            ),
            bucket_digests=session.bucket_digests,
            cursor=session.cursor,
        )
        self._state.outbox.send_without_updates(
            peer.host.address, peer.host.control_port, message
        )

    def _handle_page(self, message: data.GossipMessage, now_ms: int) -> None:
        """Requests the page after a received one, or ends the session."""
        session = self._session
        if session is None or message.number != session.number:
            return
        if 0 <= message.cursor <= session.cursor:
            return
        session.timeouts = 0
        session.cursor = message.cursor
        if message.cursor >= 0:
            self._request_page(session, now_ms)
            return
        self._session = None
        self._state.freshness.record_join()

    def _send_page(self, message: data.GossipMessage, now_ms: int) -> None:
        """Answers a request with one page, within the rate limit of pages."""
        if not self._page_token_bucket.has_tokens(now_ms):
            return
        shared = self._state
        page = shared.new_message(data.MessageKind.SYNC_PAGE, message.number)
        budget_bytes = shared.settings.max_message_bytes
        budget_bytes -= message_size.message_bytes(page)
        members, facts, cursor = sync_pages.build_page(
            shared, message, budget_bytes, now_ms
        )
        page = dataclasses.replace(
            page, members=members, facts=facts, cursor=cursor
        )
        size = message_size.message_bytes(page)
        self._page_token_bucket.charge(
            size + message_size.DATAGRAM_OVERHEAD_BYTES
        )
        origin = message.origin.host
        shared.outbox.add(
            data.SendGossip(origin.address, origin.control_port, page)
        )
