"""When to take the whole state from a peer, and the pages of others."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import message_size
from sapphire_core.membership import state
from sapphire_core.membership import sync_pages
from sapphire_core.membership import token_bucket

_PAGE_TIMEOUT_MS = 300
_MAX_FAILURES = 5
_PAGE_BYTES_PER_SECOND = 3_000
_PAGE_BURST_BYTES = 36_000
_CHECKED_KINDS = (data.MessageKind.PING, data.MessageKind.ACK)


class Synchroniser:
    """Takes the state from peers at the start and where it differs."""

    def __init__(self, shared: state.State) -> None:
        self._state = shared
        self._session: sync_pages.SyncSession | None = None
        self._last_number = 0
        self._differing_digest: int | None = None
        self._differs_since_ms = 0
        self._page_rate = token_bucket.TokenBucket(
            _PAGE_BYTES_PER_SECOND, _PAGE_BURST_BYTES
        )

    def on_message(self, message: data.GossipMessage, now_ms: int) -> None:
        """Takes a message whose entries have been merged.

        Args:
            message: The message.
            now_ms: The time in milliseconds.
        """
        if message.kind is data.MessageKind.SYNC_REQUEST:
            self._serve(message, now_ms)
            return
        if message.kind is data.MessageKind.SYNC_PAGE:
            self._on_page(message, now_ms)
            return
        if message.kind in _CHECKED_KINDS:
            self._compare(message, now_ms)

    def tick(self, now_ms: int) -> None:
        """Asks again for a page that did not come.

        Args:
            now_ms: The time in milliseconds.
        """
        current = self._session
        if current is None or now_ms - current.asked_ms < _PAGE_TIMEOUT_MS:
            return
        current.failures += 1
        if current.failures > _MAX_FAILURES:
            self._session = None
            return
        self._ask(current, now_ms)

    def _compare(self, message: data.GossipMessage, now_ms: int) -> None:
        """Compares the digest of a peer with the own one."""
        shared = self._state
        if self._session is not None:
            return
        if not shared.freshness.is_joined:
            self._begin((), now_ms, message.origin)
            return
        digest = shared.digest()
        if not shared.is_remote(message.origin):
            digest ^= shared.facts.local_digest
        if message.digest == digest:
            return
        # Equal digests of others say nothing: they may lack the same news. News
        # on its way would have changed the own digest in the interval.
        state_digest = shared.digest() ^ shared.facts.local_digest
        if self._differing_digest != state_digest:
            self._differing_digest = state_digest
            self._differs_since_ms = now_ms
        differs_ms = now_ms - self._differs_since_ms
        if differs_ms < shared.settings.sync_interval_ms:
            return
        self._differs_since_ms = now_ms
        self._begin(shared.members.bucket_digests(), now_ms, message.origin)

    def _begin(
        self,
        bucket_digests: tuple[int, ...],
        now_ms: int,
        peer: data.MemberEntry,
    ) -> None:
        """Begins a synchronisation with a peer."""
        self._last_number += 1
        # A peer elsewhere in the own data centre may lack what this one has.
        peer_id = peer.host.host_id if bucket_digests else ""
        self._session = sync_pages.SyncSession(
            self._last_number, bucket_digests, 0, now_ms, peer_id
        )
        self._ask_peer(self._session, peer, now_ms)

    def _ask(self, current: sync_pages.SyncSession, now_ms: int) -> None:
        """Asks for the next page, at a join from any peer to spread it."""
        shared = self._state
        if current.peer_id:
            known = shared.members.live_entry(current.peer_id)
            if known is None:
                self._session = None
                return
            self._ask_peer(current, known, now_ms)
            return
        peer_ids = shared.pick_local(1)
        if not peer_ids:
            for name in shared.other_data_centres():
                peer_ids.extend(shared.relays(name)[:1])
        if not peer_ids:
            self._session = None
            return
        peer = shared.members.entries_by_id[peer_ids[0]]
        self._ask_peer(current, peer, now_ms)

    def _ask_peer(
        self,
        current: sync_pages.SyncSession,
        peer: data.MemberEntry,
        now_ms: int,
    ) -> None:
        """Asks a peer for the next page."""
        current.asked_ms = now_ms
        message = dataclasses.replace(
            self._state.message(data.MessageKind.SYNC_REQUEST, current.number),
            bucket_digests=current.bucket_digests,
            cursor=current.cursor,
        )
        self._state.outbox.send_plain(
            peer.host.address, peer.host.control_port, message
        )

    def _on_page(self, message: data.GossipMessage, now_ms: int) -> None:
        """Takes a page and asks for the next."""
        current = self._session
        if current is None or message.number != current.number:
            return
        if 0 <= message.cursor <= current.cursor:
            return
        current.failures = 0
        current.cursor = message.cursor
        if message.cursor >= 0:
            self._ask(current, now_ms)
            return
        self._session = None
        self._state.freshness.join()

    def _serve(self, message: data.GossipMessage, now_ms: int) -> None:
        """Answers a request with one page, unless too many were sent."""
        if not self._page_rate.has_tokens(now_ms):
            return
        shared = self._state
        page = shared.message(data.MessageKind.SYNC_PAGE, message.number)
        room = shared.settings.max_message_bytes
        room -= message_size.message_bytes(page)
        members, facts, cursor = sync_pages.build_page(
            shared, message, room, now_ms
        )
        page = dataclasses.replace(
            page, members=members, facts=facts, cursor=cursor
        )
        size = message_size.message_bytes(page)
        self._page_rate.charge(size + message_size.DATAGRAM_OVERHEAD_BYTES)
        origin = message.origin.host
        shared.outbox.add(
            data.SendGossip(origin.address, origin.control_port, page)
        )
