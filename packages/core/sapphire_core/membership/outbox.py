"""The messages of one event, filled up with news."""

from collections.abc import Callable
import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import fact_table
from sapphire_core.membership import member_table
from sapphire_core.membership import message_size
from sapphire_core.membership import token_bucket
from sapphire_core.membership import update_queue
from sapphire_data import records

_MIN_TRANSMISSIONS = 8
_BACKLOG_ITEMS = 64
_BACKLOG_TRANSMISSIONS = 2


class Outbox:
    """Collects the actions of an event and the news that messages carry."""

    def __init__(
        self,
        settings: data.Settings,
        own_data_centre: str,
        members: member_table.MemberTable,
        facts: fact_table.FactTable,
    ) -> None:
        self._settings = settings
        self._own_data_centre = own_data_centre
        self._members = members
        self._facts = facts
        self._actions: list[data.Action] = []
        self.updates = update_queue.UpdateQueue(settings.push_rounds)
        # A backlog of changed members, as after the loss of a data centre, must
        # not delay a configuration, nor a run of facts the death of a host.
        self._rates_by_kind = {
            kind: token_bucket.TokenBucket(
                settings.news_bytes_per_second // len(update_queue.UpdateKind),
                settings.news_burst_bytes // len(update_queue.UpdateKind),
            )
            for kind in update_queue.UpdateKind
        }

    def add(self, action: data.Action) -> None:
        """Adds an action that is not a message."""
        self._actions.append(action)

    def drain(self) -> tuple[data.Action, ...]:
        """Returns the actions since the last call."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def add_member_news(self, host_id: str, is_remote: bool) -> None:
        """Notes that the entry of a host has changed."""
        key = update_queue.UpdateKey(update_queue.UpdateKind.MEMBER, host_id)
        self.updates.add(key, is_remote)

    def add_fact_news(self, fact_key: str, is_remote: bool) -> None:
        """Notes that a fact has changed."""
        self.updates.add(_fact_news(fact_key), is_remote)

    def hear_member(self, host_id: str) -> None:
        """Notes that another host knows the entry of a host as well."""
        self.updates.hear(
            update_queue.UpdateKey(update_queue.UpdateKind.MEMBER, host_id)
        )

    def hear_fact(self, fact_key: str) -> None:
        """Notes that another host knows a fact as well."""
        self.updates.hear(_fact_news(fact_key))

    def kinds_allowed(self, now_ms: int) -> set[update_queue.UpdateKind]:
        """Returns the kinds of news whose allowance is not used up."""
        return {
            kind
            for kind, rate in self._rates_by_kind.items()
            if rate.has_tokens(now_ms)
        }

    def send_plain(
        self, address: str, port: int, message: data.GossipMessage
    ) -> None:
        """Sends a message without news."""
        self._actions.append(data.SendGossip(address, port, message))

    def send(
        self,
        target: records.HostAddress,
        message: data.GossipMessage,
        now_ms: int,
    ) -> None:
        """Sends a message with as much news as fits.

        Args:
            target: The receiver.
            message: The message; entries that it already carries stay first.
            now_ms: The time in milliseconds.
        """
        keys: list[update_queue.UpdateKey] = []
        if target.data_centre == self._own_data_centre:
            digest = message.digest ^ self._facts.local_digest
            message = dataclasses.replace(message, digest=digest)
        if len(self.updates):
            keys = self._pick(target, message, False, now_ms)
            message = self._fill(message, keys, now_ms)
            self._charge(keys, now_ms)
        self.send_plain(target.address, target.control_port, message)
        self.updates.count(keys, self._transmission_limit())

    def push(
        self,
        targets: list[records.HostAddress],
        message: data.GossipMessage,
        now_ms: int,
    ) -> None:
        """Sends the news that is due to several members.

        Args:
            targets: The receivers.
            message: The message without news.
            now_ms: The time in milliseconds.
        """
        pushed = dict.fromkeys(self._unsendable(targets, now_ms))
        for target in targets:
            keys = self._pick(target, message, True, now_ms)
            if not keys:
                continue
            filled = self._fill(message, keys, now_ms)
            self._charge(keys, now_ms)
            overhead_bytes = message_size.message_bytes(message)
            overhead_bytes += message_size.DATAGRAM_OVERHEAD_BYTES
            self._rates_by_kind[keys[0].kind].charge(overhead_bytes)
            self.send_plain(target.address, target.control_port, filled)
            pushed.update(dict.fromkeys(keys))
        self.updates.end_push(list(pushed))

    def _unsendable(
        self, targets: list[records.HostAddress], now_ms: int
    ) -> list[update_queue.UpdateKey]:
        """Returns the news that is for none of the receivers."""
        homes = {target.data_centre for target in targets}
        sizes_of = []
        if self._own_data_centre in homes:
            sizes_of.append(self._size_of(now_ms, is_local=True))
        if homes - {self._own_data_centre}:
            sizes_of.append(self._size_of_remote(now_ms, is_push=True))
        return [
            key
            for key in self.updates.hot_keys()
            if all(size_of(key) is None for size_of in sizes_of)
        ]

    def _pick(
        self,
        target: records.HostAddress,
        message: data.GossipMessage,
        hot_only: bool,
        now_ms: int,
    ) -> list[update_queue.UpdateKey]:
        """Picks the news for a receiver."""
        room = self._settings.max_message_bytes
        room -= message_size.message_bytes(message)
        is_local = target.data_centre == self._own_data_centre
        size_of = self._size_of(now_ms, is_local)
        if not is_local:
            size_of = self._size_of_remote(now_ms, hot_only)
        kinds = self.kinds_allowed(now_ms)
        return self.updates.pick(room, size_of, kinds, hot_only)

    def _charge(self, keys: list[update_queue.UpdateKey], now_ms: int) -> None:
        """Takes what was sent from the allowance of its kind."""
        size_of = self._size_of(now_ms, is_local=False)
        for key in keys:
            self._rates_by_kind[key.kind].charge(size_of(key) or 0)

    def _size_of(
        self, now_ms: int, is_local: bool
    ) -> Callable[[update_queue.UpdateKey], int | None]:
        """Returns the sizes of news, None for what is not for the receiver."""

        def size_of(key: update_queue.UpdateKey) -> int | None:
            if key.kind is not update_queue.UpdateKind.MEMBER:
                scope = fact_scope.scope_of(key.name)
                if is_local and scope is fact_scope.Scope.RELAY:
                    return None
                fact = self._facts.get(key.name, now_ms)
                return message_size.fact_bytes(fact) if fact else None
            entry = self._members.entries_by_id.get(key.name)
            return message_size.member_bytes(entry) if entry else None

        return size_of

    def _size_of_remote(
        self, now_ms: int, is_push: bool
    ) -> Callable[[update_queue.UpdateKey], int | None]:
        """Returns the sizes of the news that concerns other data centres.

        What is not pushed there is carried by probes, for cuts of pairs.
        """
        local = self._size_of(now_ms, is_local=False)

        def size_of(key: update_queue.UpdateKey) -> int | None:
            if is_push and not self.updates.is_pushed_abroad(key):
                return None
            if key.kind is not update_queue.UpdateKind.MEMBER:
                scope = fact_scope.scope_of(key.name)
                if scope is fact_scope.Scope.LOCAL:
                    return None
                return local(key)
            entry = self._members.entries_by_id.get(key.name)
            if entry is None or entry.state is records.MemberState.SUSPECT:
                return None
            return local(key)

        return size_of

    def _fill(
        self,
        message: data.GossipMessage,
        keys: list[update_queue.UpdateKey],
        now_ms: int,
    ) -> data.GossipMessage:
        """Returns the message with the news added."""
        members = list(message.members)
        facts = list(message.facts)
        for key in keys:
            if key.kind is not update_queue.UpdateKind.MEMBER:
                fact = self._facts.get(key.name, now_ms)
                if fact is not None:
                    facts.append(fact)
                continue
            members.append(self._members.entries_by_id[key.name])
        return data.GossipMessage(
            kind=message.kind,
            number=message.number,
            origin=message.origin,
            subject=message.subject,
            digest=message.digest,
            members=tuple(members),
            facts=tuple(facts),
            prepared=message.prepared,
            bucket_digests=message.bucket_digests,
            cursor=message.cursor,
        )

    def _transmission_limit(self) -> int:
        """Returns how often news is passed on, by the size of the group.

        Under a backlog the exchange of differing buckets costs less than
        passing on each change many times.
        """
        if len(self.updates) > _BACKLOG_ITEMS:
            return _BACKLOG_TRANSMISSIONS
        size = len(self._members.live_ids(self._own_data_centre))
        factor = self._settings.retransmit_factor
        return max(_MIN_TRANSMISSIONS, factor * size.bit_length())


def _fact_news(fact_key: str) -> update_queue.UpdateKey:
    """Returns the subject of news about a fact."""
    kind = update_queue.UpdateKind.FACT
    if fact_scope.is_urgent(fact_key):
        kind = update_queue.UpdateKind.URGENT_FACT
    return update_queue.UpdateKey(kind, fact_key)
