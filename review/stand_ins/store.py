"""The platform's store, as PROTOCOL.md tells it, with a listener a machine."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any
from urllib import parse

_EXPIRY_CHECK_S = 0.05
_MS_PER_S = 1_000
_PAGE_ITEMS = 50
_ANSWER_S = 0.004
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CHANGED = 412
_TTL_MIN_MS = 1_000


class Store:
    """Keeps items and answers calls.

    Attributes:
        revision: The revision counter.
        silent: The machines that are partitioned from the store: what they
            send is lost, and nothing is sent to them.
        watching_since: When each machine last began to watch `op/`.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.silent: set[str] = set()
        self.watching_since: dict[str, float] = {}
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._lease_ends: dict[int, float] = {}
        self._lease_ttl_ms: dict[int, int] = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item; returns the revision."""
        self.revision += 1
        former = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRev": former["createRev"] if former else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)
        return self.revision

    def put_json(self, key: str, value: Any) -> int:
        """Writes an item whose value is JSON; returns the revision."""
        return self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Removes an item, if it is there."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._add_event(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """Removes the keys of leases that have ended, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            now_s = time.monotonic()
            for lease, end_s in list(self._lease_ends.items()):
                if now_s >= end_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._lease_ends.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.delete(key)

    def close(self) -> None:
        """Closes all connections."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.close()

    async def listen(self, machine: str, address: tuple[str, int]) -> None:
        """Listens for the calls of one machine."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.add(writer)
            try:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._serve(machine, reader, writer)
            finally:
                self._writers.discard(writer)
                writer.close()

        self._servers.append(await asyncio.start_server(handle, *address))

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers the calls of one connection, one after another."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            body = await reader.readexactly(length)
            if await self._lost(machine):
                return
            await asyncio.sleep(_ANSWER_S)
            status, content = await self._answer(machine, method, target, body)
            if await self._lost(machine):
                return
            payload = json.dumps(content).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(payload)}\r\n\r\n".encode()
                + payload
            )
            await writer.drain()

    async def _lost(self, machine: str) -> bool:
        """Whether a machine is cut off; then its connection stays silent."""
        if machine not in self.silent:
            return False
        while machine in self.silent:
            await asyncio.sleep(_EXPIRY_CHECK_S)
        return True

    async def _answer(
        self, machine: str, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Returns the status and the body of an answer."""
        path, _, query_text = target.partition("?")
        query = dict(parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-watch":
            if query["prefix"] == "op/":
                self.watching_since[machine] = time.monotonic()
            return await self._watch(query)
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return _NOT_FOUND, {}
            return _OK, {**item, "asOf": self.revision}
        if path == "/v1/kv-lease":
            return self._grant(json.loads(body))
        if path == "/v1/kv-txn":
            return self._transact(json.loads(body))
        lease = int(path.rpartition("/")[2])
        if lease not in self._lease_ends:
            return _NOT_FOUND, {}
        if method == "DELETE":
            self._end_lease(lease)
            return _OK, {}
        ttl_ms = self._lease_ttl_ms[lease]
        self._lease_ends[lease] = time.monotonic() + ttl_ms / _MS_PER_S
        return _OK, {"ttlMs": ttl_ms}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items = [self._items[key] for key in keys[:_PAGE_ITEMS]]
        return _OK, {
            "items": items,
            "hasMore": len(keys) > _PAGE_ITEMS,
            "asOf": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        end_s = time.monotonic() + int(query["waitMs"]) / _MS_PER_S
        while True:
            changed = self._changed
            if after > self.revision:
                return _GONE, {}
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return _OK, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _grant(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        ttl_ms = max(_TTL_MIN_MS, int(body["ttlMs"]))
        self._last_lease += 1
        lease = self._last_lease
        self._lease_ttl_ms[lease] = ttl_ms
        self._lease_ends[lease] = time.monotonic() + ttl_ms / _MS_PER_S
        return _OK, {"lease": lease, "ttlMs": ttl_ms}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get("expected", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return _CHANGED, {"items": [item] if item else []}
        for put in body.get("puts", ()):
            lease = put.get("lease", 0)
            if lease and lease not in self._lease_ends:
                return _NOT_FOUND, {}
        for put in body.get("puts", ()):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body.get("delete", ()):
            self.delete(key)
        return _OK, {"revision": self.revision}
