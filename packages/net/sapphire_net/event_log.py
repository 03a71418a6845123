"""Structured logs: one line of key=value pairs per event."""

import functools
import json
import logging
import re
import sys
import traceback
from typing import Any
from typing import TextIO

from sapphire_data import clock
from sapphire_data import failures

_FIELDS = "event_fields"
# Texts of errors may quote whole messages.
_MAX_DETAIL_CHARACTERS = 500
_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/@%+,\-\[\]]+")
# Keys are those of calls in the code, a few hundred.
_MAX_CACHED_KEYS = 1_024
_KEY_CHARACTER = re.compile(r"[^A-Za-z0-9_.]")


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line for a record.

        Args:
            record: The record; its message is the name of the event, and its
                fields are those given to `log`.

        Returns:
            The line; line breaks within values are escaped.
        """
        pairs = [
            ("time_ms", clock.wall_time_ms()),
            ("level", record.levelname.lower()),
            ("logger", record.name),
            ("event", record.getMessage()),
        ]
        fields: dict[str, Any] = getattr(record, _FIELDS, {})
        pairs.extend(fields.items())
        if record.exc_info:
            pairs.append(("exception", self.formatException(record.exc_info)))
        return " ".join(
            [f"{_clean_key(key)}={quote(value)}" for key, value in pairs]
        )


@functools.lru_cache(maxsize=_MAX_CACHED_KEYS)
def _clean_key(key: str) -> str:
    """Returns a key with the characters that keys may have."""
    return _KEY_CHARACTER.sub("_", key)


def quote(value: Any) -> str:
    """Returns a value as it is written after the equals sign.

    Args:
        value: Any value.

    Returns:
        The text of the value, as a JSON string if it holds characters that
        need quotes.
    """
    if type(value) is int:
        return str(value)
    if isinstance(value, bool):
        return str(value).lower()
    text = value if isinstance(value, str) else str(value)
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)


def log(logger: logging.Logger, level: int, event: str, **fields: Any) -> None:
    """Logs an event with its fields.

    Args:
        logger: The logger of the calling module.
        level: The level, such as `logging.INFO`.
        event: The name of the event, in snake case.
        **fields: The fields of the event.
    """
    logger.log(level, "%s", event, extra={_FIELDS: fields})


def log_failure(
    logger: logging.Logger, event: str, failure: failures.Failure, **fields: Any
) -> None:
    """Logs a typed failure as a warning.

    Args:
        logger: The logger of the calling module.
        event: The name of the event.
        failure: The failure; its code becomes the field `failure` and its
            text the field `detail`.
        **fields: Further fields of the event.
    """
    log(
        logger,
        logging.WARNING,
        event,
        failure=failure.code,
        detail=str(failure),
        **fields,
    )


def log_unexpected(
    logger: logging.Logger, event: str, error: Exception, **fields: Any
) -> None:
    """Logs an error that the code at the border of a task did not foresee.

    Args:
        logger: The logger of the calling module.
        event: The name of the event.
        error: The error; its type, text and place become fields.
        **fields: Further fields of the event.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    log(
        logger,
        logging.ERROR,
        event,
        failure=type(error).__name__,
        detail=str(error)[:_MAX_DETAIL_CHARACTERS],
        place=place,
        **fields,
    )


def configure(level: str, stream: TextIO | None = None) -> None:
    """Writes all logs of the process to a stream as key=value lines.

    Args:
        level: The name of the lowest level that is written.
        stream: The stream; standard error by default.
    """
    configure_handler(level, logging.StreamHandler(stream or sys.stderr))


def configure_handler(level: str, handler: logging.Handler) -> None:
    """Sends all logs of the process to a handler as key=value lines.

    Args:
        level: The name of the lowest level that is written.
        handler: The handler.
    """
    handler.setFormatter(KeyValueFormatter())
    # Lines show neither the place of the call nor the thread or process, which
    # take a third of the time of a line (`logging`, "Optimization").
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # The HTTP libraries log each request, which the events of this project
    # report already.
    for name in ("httpx", "httpcore", "hypercorn.access", "hypercorn.error"):
        logging.getLogger(name).setLevel(logging.WARNING)
