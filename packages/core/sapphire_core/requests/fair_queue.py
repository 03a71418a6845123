"""A queue that serves callers in turn."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class FairQueue:
    """Waiting requests of one service, first in first out for each caller.

    Callers take turns, so one caller with many requests delays the others by
    one request each.

    Attributes:
        serials_by_caller: The waiting requests; the caller whose turn is next
            comes first.
        length: The number of waiting requests.
    """

    serials_by_caller: collections.OrderedDict[
        str, collections.OrderedDict[int, None]
    ] = dataclasses.field(default_factory=collections.OrderedDict)
    length: int = 0

    def push(self, caller: str, serial: int, *, is_first: bool = False) -> None:
        """Adds a request.

        Args:
            caller: The caller.
            serial: The request.
            is_first: Whether it goes before all others, as a request does
                that was sent and not run.
        """
        serials = self.serials_by_caller.get(caller)
        if serials is None:
            serials = collections.OrderedDict()
            self.serials_by_caller[caller] = serials
        serials[serial] = None
        self.length += 1
        if not is_first:
            return
        serials.move_to_end(serial, last=False)
        self.serials_by_caller.move_to_end(caller, last=False)

    def pop(self) -> tuple[str, int] | None:
        """Takes the next request and passes the turn to the next caller."""
        if not self.serials_by_caller:
            return None
        caller, serials = self.serials_by_caller.popitem(last=False)
        serial, _ = serials.popitem(last=False)
        self.length -= 1
        if serials:
            self.serials_by_caller[caller] = serials
        return caller, serial

    def peek(self) -> int | None:
        """Returns the next request without taking it."""
        for serials in self.serials_by_caller.values():
            return next(iter(serials))
        return None

    def remove(self, caller: str, serial: int) -> bool:
        """Takes out a request.

        Args:
            caller: The caller.
            serial: The request.

        Returns:
            Whether it was waiting.
        """
        serials = self.serials_by_caller.get(caller)
        if serials is None or serial not in serials:
            return False
        del serials[serial]
        self.length -= 1
        if not serials:
            del self.serials_by_caller[caller]
        return True

    def count_of(self, caller: str) -> int:
        """Returns the number of waiting requests of a caller."""
        return len(self.serials_by_caller.get(caller, ()))

    def count_ahead(self, caller: str, rank: int) -> int:
        """Returns the requests served before a caller's request.

        Args:
            caller: The caller.
            rank: The number of the caller's own requests before it.
        """
        ahead = rank
        for other, serials in self.serials_by_caller.items():
            if other == caller:
                continue
            ahead += min(len(serials), rank + 1)
        return ahead

    def newest_of_busiest(self) -> tuple[str, int] | None:
        """Returns the caller with most waiting requests, and its newest."""
        if not self.serials_by_caller:
            return None
        caller = max(
            self.serials_by_caller,
            key=lambda name: len(self.serials_by_caller[name]),
        )
        return caller, next(reversed(self.serials_by_caller[caller]))
