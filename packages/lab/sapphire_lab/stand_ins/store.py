"""Stand-in for the platform's store: the HTTP/JSON gateway of etcd v3.

Run it with `python -m sapphire_lab.stand_ins.store --port 2379`. Faults are
read and set as JSON at `/control/faults`; `/control/lapse-leases` ends all
leases, `/control/compact` forgets past events, `/control/usage` counts calls.
"""

import base64
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import socket
from typing import Annotated
from typing import Any

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import typer

from sapphire_data import clock
from sapphire_lab.stand_ins import serving
from sapphire_lab.stand_ins import store_faults
from sapphire_lab.stand_ins import store_state
from sapphire_net.store import data
from sapphire_net.store import etcd_messages
from sapphire_net.store import interface

LEASE_CHECK_MS = 100
_WRITE_PATHS = frozenset(
    {
        etcd_messages.TRANSACTION_PATH,
        etcd_messages.LEASE_GRANT_PATH,
        etcd_messages.LEASE_KEEP_ALIVE_PATH,
        etcd_messages.LEASE_REVOKE_PATH,
    }
)


class LostAnswer(responses.Response):
    """Breaks the connection off within the answer."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Starts an answer and does not finish it."""
        headers = [(b"content-length", b"100")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )


class FakeStoreServer:
    """The application: it owns the state and answers each call."""

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self.state = store_state.StoreState(time)
        self.faults = store_faults.Faults()
        self.calls_by_path: collections.Counter[str] = collections.Counter()
        self.watch_count = 0
        self._changed = anyio.Event()
        self._old_items: dict[str, data.KeyValue] = {}
        self._read_limiter = store_faults.RateLimiter()
        self._write_limiter = store_faults.RateLimiter()
        self._is_closed = False

    def application(self) -> applications.Starlette:
        """Returns the ASGI application."""
        answers = {
            etcd_messages.RANGE_PATH: self._range,
            etcd_messages.TRANSACTION_PATH: self._transact,
            etcd_messages.LEASE_GRANT_PATH: self._grant,
            etcd_messages.LEASE_KEEP_ALIVE_PATH: self._renew,
            etcd_messages.LEASE_REVOKE_PATH: self._revoke,
        }

        async def call(request: requests.Request) -> responses.Response:
            return await self._call(request, answers[request.url.path])

        routes = [
            routing.Route(path, call, methods=["POST"]) for path in answers
        ]
        routes += [
            routing.Route(
                etcd_messages.WATCH_PATH, self._watch, methods=["POST"]
            ),
            routing.Route("/control/faults", self._get_faults),
            routing.Route(
                "/control/faults", self._set_faults, methods=["POST"]
            ),
            routing.Route("/control/usage", self._usage),
            routing.Route(
                "/control/lapse-leases", self._lapse, methods=["POST"]
            ),
            routing.Route("/control/compact", self._compact, methods=["POST"]),
        ]
        return applications.Starlette(routes=routes)

    def set_faults(self, faults: store_faults.Faults) -> None:
        """Switches faults.

        Args:
            faults: All faults; those left at their default are off.
        """
        if faults.has_old_reads and not self.faults.has_old_reads:
            self._old_items = dict(self.state.items_by_key)
        self.faults = faults
        self._notify()

    async def expire_leases_forever(self) -> None:
        """Ends leases as their time runs out."""
        while True:
            await anyio.sleep(LEASE_CHECK_MS / clock.MS_PER_SECOND)
            self._expire()

    def close(self) -> None:
        """Ends the open watches."""
        self._is_closed = True
        self._notify()

    async def _call(
        self, request: requests.Request, answer: Any
    ) -> responses.Response:
        """Applies faults and limits round one call."""
        path = request.url.path
        self.calls_by_path[path] += 1
        is_write = path in _WRITE_PATHS
        if self.faults.slow_ms:
            await anyio.sleep(self.faults.slow_ms / clock.MS_PER_SECOND)
        if self.faults.is_down:
            return _error(503, 14, "etcdserver: no leader")
        if not self._is_within_rate(is_write):
            return _error(429, 8, "etcdserver: too many requests")
        if is_write and self.faults.lost_requests:
            self.faults.lost_requests -= 1
            return LostAnswer()
        self._expire()
        try:
            body = answer(json.loads(await request.body()))
        except store_state.InvalidRequestError as error:
            return _error(400, 3, f"etcdserver: {error}")
        except etcd_messages.DECODE_ERRORS as error:
            return _error(400, 3, repr(error))
        if is_write:
            self._notify()
        if is_write and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return LostAnswer()
        return responses.JSONResponse(body)

    def _is_within_rate(self, is_write: bool) -> bool:
        """Counts a call against the limits; a waiting watch is a read."""
        now_ms = self._time.now_ms()
        if is_write:
            limit = self.faults.writes_per_second
            return self._write_limiter.try_acquire(now_ms, limit)
        limit = self.faults.reads_per_second - self.watch_count
        return self._read_limiter.try_acquire(now_ms, limit)

    def _range(self, body: Any) -> Any:
        """Answers a read."""
        items = self.state.items_by_key
        if self.faults.has_old_reads:
            items = self._old_items
        key, end = _range_of(body)
        found = self.state.read_range(key, end, items)
        if body.get("keys_only", False):
            found = [dataclasses.replace(item, value=b"") for item in found]
        limit = int(body.get("limit", 0)) or len(found)
        answer: dict[str, Any] = {"header": self._header()}
        if found:
            answer["kvs"] = [_encode_item(item) for item in found[:limit]]
            answer["count"] = str(len(found))
        if len(found) > limit:
            answer["more"] = True
        return answer

    def _transact(self, body: Any) -> Any:
        """Answers a transaction."""
        succeeded = True
        for compare in body.get("compare", ()):
            if compare["target"] != "MOD" or compare["result"] != "EQUAL":
                raise store_state.InvalidRequestError("unknown compare")
            key = _decode_key(compare["key"])
            if not self.state.is_at_revision(key, int(compare["mod_revision"])):
                succeeded = False
        branch = body.get("success" if succeeded else "failure", ())
        reads = [item for item in branch if "request_range" in item]
        writes = [item for item in branch if "request_range" not in item]
        self.state.apply([_decode_write(operation) for operation in writes])
        answer: dict[str, Any] = {"header": self._header()}
        if succeeded:
            answer["succeeded"] = True
        if reads:
            answer["responses"] = [
                {"response_range": self._range(item["request_range"])}
                for item in reads
            ]
        return answer

    def _grant(self, body: Any) -> Any:
        """Answers the grant of a lease."""
        seconds = int(body["TTL"])
        lease_id = self.state.grant_lease(seconds * clock.MS_PER_SECOND)
        return {
            "header": self._header(),
            "ID": str(lease_id),
            "TTL": str(seconds),
        }

    def _renew(self, body: Any) -> Any:
        """Answers the renewal of a lease."""
        lease_id = int(body["ID"])
        result = {"header": self._header(), "ID": str(lease_id)}
        length_ms = self.state.renew_lease(lease_id)
        if length_ms:
            result["TTL"] = str(length_ms // clock.MS_PER_SECOND)
        return {"result": result}

    def _revoke(self, body: Any) -> Any:
        """Answers the end of a lease."""
        lease_id = int(body["ID"])
        if lease_id not in self.state.leases_by_id:
            raise store_state.InvalidRequestError("requested lease not found")
        self.state.revoke_lease(lease_id)
        return {"header": self._header()}

    async def _watch(self, request: requests.Request) -> responses.Response:
        """Opens a watch."""
        self.calls_by_path[etcd_messages.WATCH_PATH] += 1
        if self.faults.is_down:
            return _error(503, 14, "etcdserver: no leader")
        if not self._is_within_rate(is_write=False):
            return _error(429, 8, "etcdserver: too many requests")
        try:
            create = json.loads(await request.body())["create_request"]
            key, end = _range_of(create)
            start = int(create.get("start_revision", 0))
        except etcd_messages.DECODE_ERRORS as error:
            return _error(400, 3, repr(error))
        start = start or self.state.revision + 1
        return responses.StreamingResponse(
            self._watch_lines(key, end, start), media_type="application/json"
        )

    async def _watch_lines(
        self, key: str, end: str | None, next_revision: int
    ) -> AsyncIterator[bytes]:
        """Yields the lines of a watch until the store goes down."""
        self.watch_count += 1
        try:
            yield _line({"header": self._header(), "created": True})
            while not self.faults.is_down and not self._is_closed:
                changed = self._changed
                try:
                    events = self.state.read_events(next_revision, key, end)
                except store_state.CompactedError:
                    yield _line(
                        {
                            "header": self._header(),
                            "canceled": True,
                            "compact_revision": str(self.state.revision),
                        }
                    )
                    return
                next_revision = max(next_revision, self.state.revision + 1)
                if events:
                    encoded = [_encode_event(event) for event in events]
                    yield _line({"header": self._header(), "events": encoded})
                await changed.wait()
        finally:
            self.watch_count -= 1

    async def _get_faults(self, _: requests.Request) -> responses.Response:
        """Shows the faults."""
        return responses.JSONResponse(self.faults.model_dump())

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Sets the faults."""
        try:
            body = await request.body()
            self.set_faults(store_faults.Faults.model_validate_json(body))
        except ValueError as error:
            return _error(400, 3, str(error))
        return responses.JSONResponse(self.faults.model_dump())

    async def _usage(self, _: requests.Request) -> responses.Response:
        """Shows the calls so far and the waiting watches."""
        return responses.JSONResponse(
            {"calls": dict(self.calls_by_path), "watches": self.watch_count}
        )

    async def _lapse(self, _: requests.Request) -> responses.Response:
        """Ends all leases."""
        for lease_id in list(self.state.leases_by_id):
            self.state.revoke_lease(lease_id)
        self._notify()
        return responses.JSONResponse({})

    async def _compact(self, _: requests.Request) -> responses.Response:
        """Forgets past events."""
        self.state.compact()
        return responses.JSONResponse({})

    def _expire(self) -> None:
        """Ends leases whose time is over and tells the watches."""
        before = self.state.revision
        self.state.expire_leases()
        if self.state.revision != before:
            self._notify()

    def _notify(self) -> None:
        """Wakes the open watches."""
        self._changed.set()
        self._changed = anyio.Event()

    def _header(self) -> dict[str, str]:
        """Returns the header of each answer."""
        return {"revision": str(self.state.revision)}


@contextlib.asynccontextmanager
async def run_server(
    store: FakeStoreServer, address: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serves a store over a socket.

    Args:
        store: The store.
        address: The IP number to listen on.
        port: The TCP port; 0 for any that is free.

    Yields:
        The base URL.
    """
    listener = socket.create_server((address, port))
    bound_port = listener.getsockname()[1]
    async with (
        serving.run_server(store.application(), listener),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(store.expire_leases_forever)
        try:
            yield f"http://{address}:{bound_port}"
        finally:
            store.close()
            tasks.cancel_scope.cancel()


def main(
    address: Annotated[str, typer.Option(help="IP number.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="TCP port; 0 for any.")] = 2379,
    reads_per_second: Annotated[int, typer.Option()] = 2_000,
    writes_per_second: Annotated[int, typer.Option()] = 400,
) -> None:
    """Serves a stand-in store until it is interrupted."""
    anyio.run(
        _serve_forever, address, port, reads_per_second, writes_per_second
    )


async def _serve_forever(
    address: str, port: int, reads_per_second: int, writes_per_second: int
) -> None:
    """Serves a stand-in store and prints its address once it listens."""
    store = FakeStoreServer(clock.MonotonicClock())
    store.set_faults(
        store_faults.Faults(
            reads_per_second=reads_per_second,
            writes_per_second=writes_per_second,
        )
    )
    async with run_server(store, address, port) as base_url:
        print(f"listening url={base_url}", flush=True)
        await anyio.sleep_forever()


def _range_of(body: Any) -> tuple[str, str | None]:
    """Returns the first key of a range and the first key after it."""
    end = body.get("range_end")
    return _decode_key(body["key"]), _decode_key(end) if end else None


def _decode_key(encoded: str) -> str:
    """Returns a key from base64."""
    return base64.b64decode(encoded, validate=True).decode()


def _decode_write(operation: Any) -> data.Put | data.Delete:
    """Returns one write of a transaction."""
    put = operation.get("request_put") or operation.get("requestPut")
    if put is None:
        delete = operation["request_delete_range"]
        return data.Delete(_decode_key(delete["key"]))
    value = base64.b64decode(put.get("value", ""), validate=True)
    if len(value) > interface.MAX_VALUE_BYTES:
        raise store_state.InvalidRequestError("request is too large")
    return data.Put(
        _decode_key(put["key"]), value, lease_id=int(put.get("lease", 0))
    )


def _encode_item(item: data.KeyValue) -> dict[str, str]:
    """Returns a key with its value as JSON."""
    encoded = {
        "key": etcd_messages.encode_key(item.key),
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
        "value": base64.b64encode(item.value).decode(),
    }
    if item.lease_id:
        encoded["lease"] = str(item.lease_id)
    return encoded


def _encode_event(event: data.KeyChanged) -> dict[str, Any]:
    """Returns an event of a watch as JSON."""
    encoded: dict[str, Any] = {"kv": _encode_item(event.item)}
    if event.is_deleted:
        encoded["type"] = "DELETE"
    return encoded


def _line(result: dict[str, Any]) -> bytes:
    """Returns one line of a stream."""
    return json.dumps({"result": result}).encode() + b"\n"


def _error(status: int, code: int, message: str) -> responses.Response:
    """Returns an error as the gateway reports it."""
    return responses.JSONResponse(
        {"error": message, "code": code, "message": message}, status
    )


if __name__ == "__main__":
    typer.run(main)
