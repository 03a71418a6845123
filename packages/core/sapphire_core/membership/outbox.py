"""Collects the actions of an event and piggybacks updates on its messages."""

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
# With more pending updates than this, each is sent less often.
_BACKLOG_UPDATES = 64
_BACKLOG_TRANSMISSIONS = 2


class Outbox:
    """Collects the actions of an event and adds updates to messages.

    Attributes:
        updates: The updates that are still to be disseminated.
    """

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
        # Each kind has its own rate limit: a backlog of changed hosts, as after
        # the loss of a data centre, must not delay a new configuration, and
        # many facts must not delay the report that a host is dead.
        self._token_buckets_by_kind = {
            kind: token_bucket.TokenBucket(
                settings.update_bytes_per_second
                // len(update_queue.UpdateKind),
                settings.update_burst_bytes // len(update_queue.UpdateKind),
            )
            for kind in update_queue.UpdateKind
        }

    def add(self, action: data.Action) -> None:
        """Adds an action as it is."""
        self._actions.append(action)

    def drain(self) -> tuple[data.Action, ...]:
        """Returns the actions since the last call and clears them."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def queue_member_update(self, host_id: str, is_remote: bool) -> None:
        """Queues an update about a host whose entry has changed."""
        key = update_queue.UpdateKey(update_queue.UpdateKind.MEMBER, host_id)
        self.updates.add(key, is_remote)

    def queue_fact_update(self, fact_key: str, is_remote: bool) -> None:
        """Queues an update about a fact that has changed."""
        self.updates.add(_fact_update_key(fact_key), is_remote)

    def count_duplicate_member(self, host_id: str) -> None:
        """Counts that a peer sent the entry of a host that is known here."""
        self.updates.count_duplicate(
            update_queue.UpdateKey(update_queue.UpdateKind.MEMBER, host_id)
        )

    def count_duplicate_fact(self, fact_key: str) -> None:
        """Counts that a peer sent a fact that is known here."""
        self.updates.count_duplicate(_fact_update_key(fact_key))

    def kinds_within_rate(self, now_ms: int) -> set[update_queue.UpdateKind]:
        """Returns the kinds of updates that are within their rate limits."""
        return {
            kind
            for kind, bucket in self._token_buckets_by_kind.items()
            if bucket.has_tokens(now_ms)
        }

    def send_without_updates(
        self, address: str, port: int, message: data.GossipMessage
    ) -> None:
        """Sends a message as it is, without adding updates."""
        self._actions.append(data.SendGossip(address, port, message))

    def send(
        self,
        target: records.HostAddress,
        message: data.GossipMessage,
        now_ms: int,
    ) -> None:
        """Sends a message with as many updates as fit.

        Args:
            target: The receiver.
            message: The message; updates are added after the entries that it
                already carries.
            now_ms: The time in milliseconds.
        """
        keys: list[update_queue.UpdateKey] = []
        if target.data_centre == self._own_data_centre:
            digest = message.digest ^ self._facts.local_digest
            message = dataclasses.replace(message, digest=digest)
        if len(self.updates):
            keys = self._select_updates(target, message, False, now_ms)
            message = self._with_updates(message, keys, now_ms)
            self._charge(keys, now_ms)
        self.send_without_updates(target.address, target.control_port, message)
        self.updates.record_transmission(keys, self._transmission_limit())

    def push_updates(
        self,
        targets: list[records.HostAddress],
        message: data.GossipMessage,
        now_ms: int,
    ) -> None:
        """Sends the updates that are due to be pushed.

        Args:
            targets: The receivers.
            message: The message to which the updates are added.
            now_ms: The time in milliseconds.
        """
        pushed = dict.fromkeys(self._updates_without_receiver(targets, now_ms))
        for target in targets:
            keys = self._select_updates(target, message, True, now_ms)
            if not keys:
                continue
            message_with_updates = self._with_updates(message, keys, now_ms)
            self._charge(keys, now_ms)
            overhead_bytes = message_size.message_bytes(message)
            overhead_bytes += message_size.DATAGRAM_OVERHEAD_BYTES
            self._token_buckets_by_kind[keys[0].kind].charge(overhead_bytes)
            self.send_without_updates(
                target.address, target.control_port, message_with_updates
            )
            pushed.update(dict.fromkeys(keys))
        self.updates.record_push(list(pushed))

    def _updates_without_receiver(
        self, targets: list[records.HostAddress], now_ms: int
    ) -> list[update_queue.UpdateKey]:
        """Returns the updates due to be pushed that no receiver is to get."""
        data_centres = {target.data_centre for target in targets}
        size_functions = []
        if self._own_data_centre in data_centres:
            size_functions.append(self._size_function(now_ms, is_local=True))
        if data_centres - {self._own_data_centre}:
            size_functions.append(
                self._remote_size_function(now_ms, is_push=True)
            )
        return [
            key
            for key in self.updates.keys_to_push()
            if all(size_of(key) is None for size_of in size_functions)
        ]

    def _select_updates(
        self,
        target: records.HostAddress,
        message: data.GossipMessage,
        only_to_push: bool,
        now_ms: int,
    ) -> list[update_queue.UpdateKey]:
        """Selects the updates that a message to a receiver will carry."""
        budget_bytes = self._settings.max_message_bytes
        budget_bytes -= message_size.message_bytes(message)
        is_local = target.data_centre == self._own_data_centre
        size_of = self._size_function(now_ms, is_local)
        if not is_local:
            size_of = self._remote_size_function(now_ms, only_to_push)
        kinds = self.kinds_within_rate(now_ms)
        return self.updates.select(budget_bytes, size_of, kinds, only_to_push)

    def _charge(self, keys: list[update_queue.UpdateKey], now_ms: int) -> None:
        """Charges sent updates to the rate limits of their kinds."""
        size_of = self._size_function(now_ms, is_local=False)
        for key in keys:
            self._token_buckets_by_kind[key.kind].charge(size_of(key) or 0)

    def _size_function(
        self, now_ms: int, is_local: bool
    ) -> Callable[[update_queue.UpdateKey], int | None]:
        """Returns a function that gives the size of an update in bytes.

        It returns None if the update is not for the receiver.

        Args:
            now_ms: The time in milliseconds.
            is_local: Whether the receiver is in the own data centre.
        """

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

    def _remote_size_function(
        self, now_ms: int, is_push: bool
    ) -> Callable[[update_queue.UpdateKey], int | None]:
        """Returns the size function for receivers in other data centres.

        Updates that are not pushed to other data centres are still piggybacked
        on probes. They thus reach a data centre that is partitioned from the
        one in which they arose, by way of a third.

        Args:
            now_ms: The time in milliseconds.
            is_push: Whether the message is a push.
        """
        size_of_any = self._size_function(now_ms, is_local=False)

        def size_of(key: update_queue.UpdateKey) -> int | None:
            if is_push and not self.updates.is_remote_push_due(key):
                return None
            if key.kind is not update_queue.UpdateKind.MEMBER:
                scope = fact_scope.scope_of(key.name)
                if scope is fact_scope.Scope.LOCAL:
                    return None
                return size_of_any(key)
            entry = self._members.entries_by_id.get(key.name)
            if entry is None or entry.state is records.MemberState.SUSPECT:
                return None
            return size_of_any(key)

        return size_of

    def _with_updates(
        self,
        message: data.GossipMessage,
        keys: list[update_queue.UpdateKey],
        now_ms: int,
    ) -> data.GossipMessage:
        """Returns the message with the updates added."""
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
        """Returns how many messages may carry an update.

        The limit grows with the logarithm of the number of local hosts. With
        a backlog, synchronising the buckets that differ costs less than sending
        each update many times.
        """
        if len(self.updates) > _BACKLOG_UPDATES:
            return _BACKLOG_TRANSMISSIONS
        size = len(self._members.live_ids(self._own_data_centre))
        factor = self._settings.retransmit_factor
        return max(_MIN_TRANSMISSIONS, factor * size.bit_length())


def _fact_update_key(fact_key: str) -> update_queue.UpdateKey:
    """Returns the key of an update about a fact."""
    kind = update_queue.UpdateKind.FACT
    if fact_scope.is_urgent(fact_key):
        kind = update_queue.UpdateKind.URGENT_FACT
    return update_queue.UpdateKey(kind, fact_key)
