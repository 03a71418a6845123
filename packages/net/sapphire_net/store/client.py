"""Client of the store, by the HTTP/JSON gateway of etcd v3."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import json
import ssl
from typing import Any
from typing import TypeVar

import expression
import httpx

from sapphire_data import clock
from sapphire_net.store import data
from sapphire_net.store import etcd_messages
from sapphire_net.store import failures
from sapphire_net.store import interface

DEFAULT_TIMEOUT_MS = 2_000
MAX_RESPONSE_LINE_BYTES = 8_388_608
_HTTP_OK = 200
_HTTP_TOO_MANY_REQUESTS = 429
_HTTP_SERVER_ERROR = 500

AnswerT = TypeVar("AnswerT")

# httpx raises these before any byte of the request was sent.
_NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def open_http_client(
    base_url: str,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ssl_context: ssl.SSLContext | None = None,
) -> httpx.AsyncClient:
    """Makes the HTTP client that an `EtcdStore` uses.

    Args:
        base_url: The address of the store, such as `https://10.0.0.1:2379`.
        timeout_ms: The timeout of each step of a call, such as connecting or
            reading.
        ssl_context: The TLS context; none for the library's default.

    Returns:
        The client, to be used as a context manager.
    """
    return httpx.AsyncClient(
        base_url=base_url,
        timeout=timeout_ms / clock.MS_PER_SECOND,
        verify=ssl_context if ssl_context is not None else True,
        trust_env=False,
    )


class EtcdStore(interface.Store):
    """The store interface on the HTTP/JSON gateway of etcd v3.

    A call that had no effect at one endpoint is repeated at the next one. A
    write whose outcome is unknown is not repeated.

    Attributes:
        calls_by_path: The number of calls made to each path; a watch counts
            as one call.
    """

    def __init__(
        self, http: httpx.AsyncClient, alternatives: Sequence[str] = ()
    ) -> None:
        """Creates the client.

        Args:
            http: The HTTP client, with the first endpoint as its base URL.
            alternatives: The base URLs of the further endpoints, in the order
                in which they are tried.
        """
        self._http = http
        # The empty base URL stands for that of the HTTP client.
        self._base_urls = ("", *(url.rstrip("/") for url in alternatives))
        self._endpoint_index = 0
        self.calls_by_path: collections.Counter[str] = collections.Counter()

    async def get(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        limit: int = 0,
        is_keys_only: bool = False,
    ) -> expression.Result[data.RangeResponse, failures.StoreFailure]:
        """Reads one key, or all keys with a prefix; see `interface.Store`."""
        return await self._call(
            etcd_messages.RANGE_PATH,
            etcd_messages.range_request(key, is_prefix, limit, is_keys_only),
            etcd_messages.decode_range,
            is_write=False,
        )

    async def transact(
        self,
        compares: Sequence[data.Compare],
        writes: Sequence[data.Put | data.Delete],
        else_reads: Sequence[str] = (),
    ) -> expression.Result[data.TransactionResponse, failures.StoreFailure]:
        """Writes if all conditions hold; see `interface.Store`."""
        return await self._call(
            etcd_messages.TRANSACTION_PATH,
            etcd_messages.transaction_request(compares, writes, else_reads),
            etcd_messages.decode_transaction,
            is_write=True,
        )

    async def grant_lease(
        self, time_to_live_ms: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Grants a lease; see `interface.Store`."""
        seconds = -(-time_to_live_ms // clock.MS_PER_SECOND)
        return await self._call(
            etcd_messages.LEASE_GRANT_PATH,
            {"TTL": str(seconds)},
            etcd_messages.decode_lease,
            is_write=True,
        )

    async def renew_lease(
        self, lease_id: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Renews a lease; see `interface.Store`."""
        return await self._call(
            etcd_messages.LEASE_KEEP_ALIVE_PATH,
            {"ID": str(lease_id)},
            lambda body: etcd_messages.decode_lease(body["result"]),
            is_write=True,
        )

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, failures.StoreFailure]:
        """Revokes a lease; see `interface.Store`."""
        return await self._call(
            etcd_messages.LEASE_REVOKE_PATH,
            {"ID": str(lease_id)},
            lambda _: None,
            is_write=True,
        )

    async def watch(
        self,
        key: str,
        from_store_revision: int,
        events: interface.EventSender,
        *,
        is_prefix: bool = False,
    ) -> failures.StoreFailure:
        """Sends the changes of keys; see `interface.Store`."""
        self.calls_by_path[etcd_messages.WATCH_PATH] += 1
        request = self._http.build_request(
            "POST",
            self._base_urls[self._endpoint_index] + etcd_messages.WATCH_PATH,
            json=etcd_messages.watch_request(
                key, is_prefix, from_store_revision
            ),
            # A watch receives nothing while the key does not change, however
            # long, so reading has no timeout.
            timeout=httpx.Timeout(
                connect=self._http.timeout.connect,
                write=self._http.timeout.write,
                pool=self._http.timeout.pool,
                read=None,
            ),
        )
        try:
            response = await self._http.send(request, stream=True)
        except httpx.HTTPError as error:
            self._use_next_endpoint()
            return failures.StoreUnavailable(repr(error))
        try:
            if response.status_code != _HTTP_OK:
                await response.aread()
                return _status_failure(response, is_write=False)
            return await _send_events(response, events)
        except httpx.HTTPError as error:
            return failures.WatchEnded(repr(error))
        finally:
            await response.aclose()

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        decode: Callable[[Any], AnswerT],
        *,
        is_write: bool,
    ) -> expression.Result[AnswerT, failures.StoreFailure]:
        """Makes one call; repeats it at other endpoints if it had no effect.

        Args:
            path: The path of the call.
            body: The JSON body.
            decode: Decodes the JSON body of the response.
            is_write: Whether the call may change the store.

        Returns:
            The decoded response, or why there is none.
        """
        for _ in self._base_urls:
            outcome = await self._call_once(
                path, body, decode, is_write=is_write
            )
            if outcome.is_ok():
                return outcome
            failure = outcome.error
            if isinstance(failure, failures.StoreOutcomeUnknown):
                self._use_next_endpoint()
                return outcome
            if not isinstance(failure, failures.StoreUnavailable):
                return outcome
            self._use_next_endpoint()
        return outcome

    def _use_next_endpoint(self) -> None:
        """Uses the next endpoint from the next call on."""
        self._endpoint_index = (self._endpoint_index + 1) % len(self._base_urls)

    async def _call_once(
        self,
        path: str,
        body: dict[str, Any],
        decode: Callable[[Any], AnswerT],
        *,
        is_write: bool,
    ) -> expression.Result[AnswerT, failures.StoreFailure]:
        """Makes one call at the current endpoint; see `_call`."""
        self.calls_by_path[path] += 1
        url = self._base_urls[self._endpoint_index] + path
        try:
            response = await self._http.post(url, json=body)
        except _NEVER_SENT as error:
            return expression.Error(failures.StoreUnavailable(repr(error)))
        except httpx.HTTPError as error:
            if is_write:
                return expression.Error(
                    failures.StoreOutcomeUnknown(repr(error))
                )
            return expression.Error(failures.StoreUnavailable(repr(error)))
        if response.status_code != _HTTP_OK:
            return expression.Error(_status_failure(response, is_write))
        try:
            return expression.Ok(decode(json.loads(response.content)))
        except etcd_messages.DECODE_ERRORS as error:
            if is_write:
                return expression.Error(
                    failures.StoreOutcomeUnknown(repr(error))
                )
            return expression.Error(failures.StoreAnswerInvalid(repr(error)))


def _status_failure(
    response: httpx.Response, is_write: bool
) -> failures.StoreFailure:
    """Returns the failure for a response whose status is not 200."""
    problem = f"status {response.status_code}: {response.text[:200]}"
    if response.status_code == _HTTP_TOO_MANY_REQUESTS:
        return failures.StoreThrottled(problem)
    if response.status_code < _HTTP_SERVER_ERROR:
        return failures.StoreRejected(problem, status=response.status_code)
    if is_write:
        # After a timeout within the store, it may still apply the write.
        return failures.StoreOutcomeUnknown(problem)
    return failures.StoreUnavailable(problem)


async def _send_events(
    response: httpx.Response, events: interface.EventSender
) -> failures.StoreFailure:
    """Decodes and sends the events of an open watch until it ends."""
    async for line in response.aiter_lines():
        if not line:
            continue
        if len(line) > MAX_RESPONSE_LINE_BYTES:
            return failures.WatchEnded(f"a line of {len(line)} bytes")
        try:
            body = json.loads(line)
            result = body["result"]
            if int(result.get("compact_revision", 0)):
                return failures.WatchCompacted(line[:200])
            if result.get("canceled", False):
                return failures.WatchEnded(line[:200])
            decoded = [
                etcd_messages.decode_event(event)
                for event in result.get("events", ())
            ]
            store_revision = int(result["header"]["revision"])
        except etcd_messages.DECODE_ERRORS as error:
            return failures.WatchEnded(repr(error))
        if result.get("created", False):
            await events.send(data.WatchStarted(store_revision))
        for event in decoded:
            await events.send(event)
    return failures.WatchEnded("the store closed the watch")
