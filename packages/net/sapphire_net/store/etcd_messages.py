"""Encodes requests and decodes responses of etcd v3's HTTP/JSON gateway.

In JSON, keys and values are base64, 64-bit integers are strings, and fields
with their default value are left out.
"""

import base64
import binascii
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from sapphire_data import clock
from sapphire_net.store import data

RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEP_ALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"

# The exceptions that decoding an arbitrary JSON value may raise.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    IndexError,
    RecursionError,
    binascii.Error,
)


def encode_key(key: str) -> str:
    """Returns a key in base64."""
    return base64.b64encode(key.encode()).decode()


def range_end(prefix: str) -> str:
    """Returns, in base64, the first key after all keys with a prefix."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:  # noqa: PLR2004
        raw.pop()
    if not raw:
        return base64.b64encode(b"\0").decode()
    raw[-1] += 1
    return base64.b64encode(bytes(raw)).decode()


def range_request(
    key: str, is_prefix: bool, limit: int, is_keys_only: bool = False
) -> dict[str, Any]:
    """Returns the body of a read request."""
    body: dict[str, Any] = {"key": encode_key(key)}
    if is_prefix:
        body["range_end"] = range_end(key)
    if limit:
        body["limit"] = str(limit)
    if is_keys_only:
        body["keys_only"] = True
    return body


def transaction_request(
    compares: Sequence[data.Compare],
    writes: Sequence[data.Put | data.Delete],
    else_reads: Sequence[str] = (),
) -> dict[str, Any]:
    """Returns the body of a transaction request."""
    return {
        "compare": [
            {
                "key": encode_key(compare.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
            for compare in compares
        ],
        "success": [_write_operation(write) for write in writes],
        "failure": [
            {"request_range": {"key": encode_key(key)}} for key in else_reads
        ],
    }


def watch_request(
    key: str, is_prefix: bool, from_store_revision: int
) -> dict[str, Any]:
    """Returns the body of the request that opens a watch."""
    create = range_request(key, is_prefix, 0)
    if from_store_revision:
        create["start_revision"] = str(from_store_revision)
    return {"create_request": create}


def decode_range(body: Any) -> data.RangeResponse:
    """Decodes the response to a read.

    Raises:
        One of `DECODE_ERRORS`: The body does not follow the protocol.
    """
    return data.RangeResponse(
        store_revision=int(body["header"]["revision"]),
        items=tuple(decode_item(item) for item in body.get("kvs", ())),
        has_more=bool(body.get("more", False)),
    )


def decode_transaction(body: Any) -> data.TransactionResponse:
    """Decodes the response to a transaction.

    Raises:
        One of `DECODE_ERRORS`: The body does not follow the protocol.
    """
    items: list[data.KeyValue] = []
    for response in body.get("responses", ()):
        found = response.get("response_range") or {}
        items.extend(decode_item(item) for item in found.get("kvs", ()))
    return data.TransactionResponse(
        succeeded=bool(body.get("succeeded", False)),
        store_revision=int(body["header"]["revision"]),
        items=tuple(items),
    )


def decode_lease(body: Any) -> data.LeaseResponse:
    """Decodes the response to a grant or a renewal of a lease.

    Raises:
        One of `DECODE_ERRORS`: The body does not follow the protocol.
    """
    seconds = int(body.get("TTL", 0))
    return data.LeaseResponse(
        lease_id=int(body["ID"]),
        time_to_live_ms=max(seconds, 0) * clock.MS_PER_SECOND,
    )


def decode_item(item: Mapping[str, Any]) -> data.KeyValue:
    """Decodes a key and its value.

    Raises:
        One of `DECODE_ERRORS`: The item does not follow the protocol.
    """
    return data.KeyValue(
        key=base64.b64decode(item["key"], validate=True).decode(),
        value=base64.b64decode(item.get("value", ""), validate=True),
        mod_revision=int(item.get("mod_revision", 0)),
        create_revision=int(item.get("create_revision", 0)),
        lease_id=int(item.get("lease", 0)),
    )


def decode_event(event: Mapping[str, Any]) -> data.KeyChanged:
    """Decodes one event of a watch.

    Raises:
        One of `DECODE_ERRORS`: The event does not follow the protocol.
    """
    return data.KeyChanged(
        item=decode_item(event["kv"]),
        is_deleted=event.get("type", "PUT") == "DELETE",
    )


def _write_operation(write: data.Put | data.Delete) -> dict[str, Any]:
    """Returns one operation of a transaction."""
    if isinstance(write, data.Delete):
        return {"request_delete_range": {"key": encode_key(write.key)}}
    operation = {
        "key": encode_key(write.key),
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease_id:
        operation["lease"] = str(write.lease_id)
    return {"request_put": operation}
