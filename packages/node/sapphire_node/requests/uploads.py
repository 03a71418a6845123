"""Reads whole request bodies, within the memory budget for them."""

import anyio

from sapphire_core.requests import failures
from sapphire_data import clock
from sapphire_data import records
from sapphire_node.requests import asgi_types
from sapphire_node.requests import data
from sapphire_node.requests import header_fields
from sapphire_node.requests import service as request_service


class Upload:
    """Reads one request body and holds the memory reserved for it."""

    def __init__(
        self,
        requests: request_service.RequestService,
        service: records.Service,
    ) -> None:
        self._request_service = requests
        self._service = service
        self._reserved_bytes = 0

    async def read(
        self,
        headers: data.RawHeaders,
        receive: asgi_types.Receive,
        deadline_ms: int,
    ) -> bytes | failures.RequestFailure | None:
        """Reads the body.

        Args:
            headers: The header fields of the request.
            receive: Receives the ASGI messages of the request.
            deadline_ms: When to give up, on the local clock.

        Returns:
            The whole body; why the request is refused; or None if the caller
            has disconnected.
        """
        limit_bytes = self._service.limits.max_body_bytes
        length = header_fields.parse_whole_number(
            headers, header_fields.CONTENT_LENGTH, 0, limit_bytes + 1
        )
        if length.is_error():
            return length.error
        if length.ok > limit_bytes:
            return failures.BodyTooLarge(limit_bytes)
        if not self._reserve(length.ok):
            return self._memory_exhausted()
        remaining_ms = deadline_ms - self._request_service.clock.now_ms()
        with anyio.move_on_after(remaining_ms / clock.MS_PER_SECOND):
            return await self._read_chunks(receive, limit_bytes)
        return failures.DeadlineHopeless(0)

    async def _read_chunks(
        self, receive: asgi_types.Receive, limit_bytes: int
    ) -> bytes | failures.RequestFailure | None:
        chunks = []
        size_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunk = message.get("body", b"")
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                return failures.BodyTooLarge(limit_bytes)
            missing_bytes = size_bytes - self._reserved_bytes
            if missing_bytes > 0 and not self._reserve(missing_bytes):
                return self._memory_exhausted()
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    def _reserve(self, size_bytes: int) -> bool:
        name = self._service.name
        if not self._request_service.upload_memory.reserve(name, size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return True

    def _memory_exhausted(self) -> failures.MemoryExhausted:
        limit_bytes = self._request_service.upload_memory.limit_bytes
        return failures.MemoryExhausted(limit_bytes)

    def release(self) -> None:
        """Releases the memory of the body."""
        name = self._service.name
        self._request_service.upload_memory.release(name, self._reserved_bytes)
        self._reserved_bytes = 0
