"""A fake of the platform's store: the HTTP/JSON gateway of etcd v3.

Run it with `python -m sapphire_lab.stand_ins.store --port 2379`. Faults are
read and set as JSON at `/control/faults`; `/control/lapse-leases` ends all
leases, `/control/compact` discards past events, and `/control/usage` returns
the number of calls and of watches.
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


class LostResponse(responses.Response):
    """A response that breaks off, so that the client gets no result."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Sends the head of a response and ends without its body."""
        headers = [(b"content-length", b"100")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )


class FakeStoreServer:
    """The state of the store, its faults and its HTTP endpoints.

    Attributes:
        state: The keys, leases and events.
        faults: The faults that are on; see `set_faults`.
        calls_by_path: The number of calls received, by URL path.
        watch_count: The number of open watches.
    """

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
        handlers_by_path = {
            etcd_messages.RANGE_PATH: self._range,
            etcd_messages.TRANSACTION_PATH: self._transact,
            etcd_messages.LEASE_GRANT_PATH: self._grant_lease,
            etcd_messages.LEASE_KEEP_ALIVE_PATH: self._renew_lease,
            etcd_messages.LEASE_REVOKE_PATH: self._revoke_lease,
        }

        async def call(request: requests.Request) -> responses.Response:
            return await self._call(request, handlers_by_path[request.url.path])

        routes = [
            routing.Route(path, call, methods=["POST"])
            for path in handlers_by_path
        ]
        routes += [
            routing.Route(
                etcd_messages.WATCH_PATH, self._watch, methods=["POST"]
            ),
            routing.Route("/control/faults", self._get_faults),
            routing.Route(
                "/control/faults", self._set_faults, methods=["POST"]
            ),
            routing.Route("/control/usage", self._get_usage),
            routing.Route(
                "/control/lapse-leases",
                self._revoke_all_leases,
                methods=["POST"],
            ),
            routing.Route("/control/compact", self._compact, methods=["POST"]),
        ]
        return applications.Starlette(routes=routes)

    def set_faults(self, faults: store_faults.Faults) -> None:
        """Sets the faults.

        Args:
            faults: All faults; those left at their default are off.
        """
        if faults.has_old_reads and not self.faults.has_old_reads:
            self._old_items = dict(self.state.items_by_key)
        self.faults = faults
        self._wake_watches()

    async def expire_leases_until_cancelled(self) -> None:
        """Expires leases periodically until cancelled."""
        while True:
            await anyio.sleep(LEASE_CHECK_MS / clock.MS_PER_SECOND)
            self._expire_leases()

    def close(self) -> None:
        """Ends the open watches."""
        self._is_closed = True
        self._wake_watches()

    async def _call(
        self, request: requests.Request, handler: Any
    ) -> responses.Response:
        """Executes one call under the faults and rate limits."""
        path = request.url.path
        self.calls_by_path[path] += 1
        is_write = path in _WRITE_PATHS
        if self.faults.slow_ms:
            await anyio.sleep(self.faults.slow_ms / clock.MS_PER_SECOND)
        if self.faults.is_down:
            return _error_response(503, 14, "etcdserver: no leader")
        if not self._is_within_rate(is_write):
            return _error_response(429, 8, "etcdserver: too many requests")
        if is_write and self.faults.lost_requests:
            self.faults.lost_requests -= 1
            return LostResponse()
        self._expire_leases()
        try:
            body = handler(json.loads(await request.body()))
        except store_state.InvalidRequestError as error:
            return _error_response(400, 3, f"etcdserver: {error}")
        except etcd_messages.DECODE_ERRORS as error:
            return _error_response(400, 3, repr(error))
        if is_write:
            self._wake_watches()
        if is_write and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            return LostResponse()
        return responses.JSONResponse(body)

    def _is_within_rate(self, is_write: bool) -> bool:
        """Counts a call against its rate limit; each open watch is a read."""
        now_ms = self._time.now_ms()
        if is_write:
            limit = self.faults.writes_per_second
            return self._write_limiter.try_acquire(now_ms, limit)
        limit = self.faults.reads_per_second - self.watch_count
        return self._read_limiter.try_acquire(now_ms, limit)

    def _range(self, body: Any) -> Any:
        """Returns the response to a read."""
        items = self.state.items_by_key
        if self.faults.has_old_reads:
            items = self._old_items
        key, end = _decode_range(body)
        items_found = self.state.read_range(key, end, items)
        if body.get("keys_only", False):
            items_found = [
                dataclasses.replace(item, value=b"") for item in items_found
            ]
        limit = int(body.get("limit", 0)) or len(items_found)
        response: dict[str, Any] = {"header": self._header()}
        if items_found:
            response["kvs"] = [
                _encode_item(item) for item in items_found[:limit]
            ]
            response["count"] = str(len(items_found))
        if len(items_found) > limit:
            response["more"] = True
        return response

    def _transact(self, body: Any) -> Any:
        """Executes a transaction and returns the response."""
        succeeded = True
        for condition in body.get("compare", ()):
            if condition["target"] != "MOD" or condition["result"] != "EQUAL":
                raise store_state.InvalidRequestError("unknown compare")
            key = _decode_key(condition["key"])
            if not self.state.is_at_revision(
                key, int(condition["mod_revision"])
            ):
                succeeded = False
        branch = body.get("success" if succeeded else "failure", ())
        reads = [item for item in branch if "request_range" in item]
        writes = [item for item in branch if "request_range" not in item]
        self.state.apply([_decode_write(operation) for operation in writes])
        response: dict[str, Any] = {"header": self._header()}
        if succeeded:
            response["succeeded"] = True
        if reads:
            response["responses"] = [
                {"response_range": self._range(item["request_range"])}
                for item in reads
            ]
        return response

    def _grant_lease(self, body: Any) -> Any:
        """Grants a lease and returns the response."""
        seconds = int(body["TTL"])
        lease_id = self.state.grant_lease(seconds * clock.MS_PER_SECOND)
        return {
            "header": self._header(),
            "ID": str(lease_id),
            "TTL": str(seconds),
        }

    def _renew_lease(self, body: Any) -> Any:
        """Renews a lease and returns the response."""
        lease_id = int(body["ID"])
        result = {"header": self._header(), "ID": str(lease_id)}
        time_to_live_ms = self.state.renew_lease(lease_id)
        if time_to_live_ms:
            result["TTL"] = str(time_to_live_ms // clock.MS_PER_SECOND)
        return {"result": result}

    def _revoke_lease(self, body: Any) -> Any:
        """Revokes a lease and returns the response."""
        lease_id = int(body["ID"])
        if lease_id not in self.state.leases_by_id:
            raise store_state.InvalidRequestError("requested lease not found")
        self.state.revoke_lease(lease_id)
        return {"header": self._header()}

    async def _watch(self, request: requests.Request) -> responses.Response:
        """Opens a watch."""
        self.calls_by_path[etcd_messages.WATCH_PATH] += 1
        if self.faults.is_down:
            return _error_response(503, 14, "etcdserver: no leader")
        if not self._is_within_rate(is_write=False):
            return _error_response(429, 8, "etcdserver: too many requests")
        try:
            create = json.loads(await request.body())["create_request"]
            key, end = _decode_range(create)
            first_revision = int(create.get("start_revision", 0))
        except etcd_messages.DECODE_ERRORS as error:
            return _error_response(400, 3, repr(error))
        first_revision = first_revision or self.state.revision + 1
        return responses.StreamingResponse(
            self._watch_lines(key, end, first_revision),
            media_type="application/json",
        )

    async def _watch_lines(
        self, key: str, end: str | None, next_revision: int
    ) -> AsyncIterator[bytes]:
        """Yields the lines of a watch until the store is down or closed."""
        self.watch_count += 1
        try:
            yield _encode_line({"header": self._header(), "created": True})
            while not self.faults.is_down and not self._is_closed:
                changed = self._changed
                try:
                    events = self.state.read_events(next_revision, key, end)
                except store_state.CompactedError:
                    yield _encode_line(
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
                    yield _encode_line(
                        {"header": self._header(), "events": encoded}
                    )
                await changed.wait()
        finally:
            self.watch_count -= 1

    async def _get_faults(self, _: requests.Request) -> responses.Response:
        """Returns the faults."""
        return responses.JSONResponse(self.faults.model_dump())

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Sets the faults from a JSON body."""
        try:
            body = await request.body()
            self.set_faults(store_faults.Faults.model_validate_json(body))
        except ValueError as error:
            return _error_response(400, 3, str(error))
        return responses.JSONResponse(self.faults.model_dump())

    async def _get_usage(self, _: requests.Request) -> responses.Response:
        """Returns the number of calls by path and of open watches."""
        return responses.JSONResponse(
            {"calls": dict(self.calls_by_path), "watches": self.watch_count}
        )

    async def _revoke_all_leases(
        self, _: requests.Request
    ) -> responses.Response:
        """Revokes all leases."""
        for lease_id in list(self.state.leases_by_id):
            self.state.revoke_lease(lease_id)
        self._wake_watches()
        return responses.JSONResponse({})

    async def _compact(self, _: requests.Request) -> responses.Response:
        """Discards past events."""
        self.state.compact()
        return responses.JSONResponse({})

    def _expire_leases(self) -> None:
        """Expires leases and notifies the watches of deleted keys."""
        before = self.state.revision
        self.state.expire_leases()
        if self.state.revision != before:
            self._wake_watches()

    def _wake_watches(self) -> None:
        """Wakes the open watches, which check for new events."""
        self._changed.set()
        self._changed = anyio.Event()

    def _header(self) -> dict[str, str]:
        """Returns the header of each response."""
        return {"revision": str(self.state.revision)}


@contextlib.asynccontextmanager
async def run_server(
    store: FakeStoreServer, address: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serves a store over a socket until the block is left.

    Args:
        store: The store.
        address: The IP address to listen on.
        port: The TCP port; 0 for any free port.

    Yields:
        The base URL.
    """
    listener = socket.create_server((address, port))
    bound_port = listener.getsockname()[1]
    async with (
        serving.run_server(store.application(), listener),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(store.expire_leases_until_cancelled)
        try:
            yield f"http://{address}:{bound_port}"
        finally:
            store.close()
            tasks.cancel_scope.cancel()


def main(
    address: Annotated[str, typer.Option(help="IP address.")] = "127.0.0.1",
    port: Annotated[int, typer.Option(help="TCP port; 0 for any.")] = 2379,
    reads_per_second: Annotated[int, typer.Option()] = 2_000,
    writes_per_second: Annotated[int, typer.Option()] = 400,
) -> None:
    """Serves a fake store until it is interrupted."""
    anyio.run(
        _serve_forever, address, port, reads_per_second, writes_per_second
    )


async def _serve_forever(
    address: str, port: int, reads_per_second: int, writes_per_second: int
) -> None:
    """Serves a fake store and prints its URL once it listens."""
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


def _decode_range(body: Any) -> tuple[str, str | None]:
    """Returns the first key of a range and the first key after it, if any."""
    end = body.get("range_end")
    return _decode_key(body["key"]), _decode_key(end) if end else None


def _decode_key(encoded: str) -> str:
    """Decodes a key from base64."""
    return base64.b64decode(encoded, validate=True).decode()


def _decode_write(operation: Any) -> data.Put | data.Delete:
    """Decodes one write of a transaction."""
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
    """Encodes a key and its value for JSON."""
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
    """Encodes an event of a watch for JSON."""
    encoded: dict[str, Any] = {"kv": _encode_item(event.item)}
    if event.is_deleted:
        encoded["type"] = "DELETE"
    return encoded


def _encode_line(result: dict[str, Any]) -> bytes:
    """Encodes one line of the stream of a watch."""
    return json.dumps({"result": result}).encode() + b"\n"


def _error_response(status: int, code: int, message: str) -> responses.Response:
    """Returns an error response in the format of the gateway."""
    return responses.JSONResponse(
        {"error": message, "code": code, "message": message}, status
    )


if __name__ == "__main__":
    typer.run(main)
