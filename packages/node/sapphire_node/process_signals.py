"""The signals of a process, caught from its first moment on.

Until a handler is installed, SIGTERM and SIGHUP end the process. Importing the
rest of a daemon takes 0.2 s and more, so a daemon imports this module first;
the module itself imports next to nothing.
"""

import collections
import os
import signal

STOP_NUMBERS = frozenset((signal.SIGTERM, signal.SIGINT))
CAUGHT_NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_READ_BYTES = 4_096


class ProcessSignals:
    """Catches the signals of this process and keeps them in their order.

    A caught signal is one byte in a pipe, so that none is lost before an event
    loop runs, and any event loop can wait for the next one.

    Attributes:
        descriptor: Becomes readable when a signal has been caught.
    """

    def __init__(self) -> None:
        """Installs the handlers; only the main thread may do that."""
        self.descriptor, self._write_descriptor = os.pipe()
        os.set_blocking(self.descriptor, False)
        os.set_blocking(self._write_descriptor, False)
        self._unread: collections.deque[signal.Signals] = collections.deque()
        self._former_handlers = {
            number: signal.signal(number, self._record)
            for number in CAUGHT_NUMBERS
        }

    def _record(self, number: int, _frame: object) -> None:
        """Writes a caught signal to the pipe."""
        try:
            os.write(self._write_descriptor, bytes((number,)))
        except BlockingIOError:
            # Thousands are unread, so that one more of them says nothing new.
            return

    def is_stop_requested(self) -> bool:
        """Returns whether a signal to stop has been caught and not read."""
        self._read_pipe()
        return any(number in STOP_NUMBERS for number in self._unread)

    def read_next(self) -> signal.Signals | None:
        """Returns the next caught signal, None for none."""
        self._read_pipe()
        return self._unread.popleft() if self._unread else None

    def _read_pipe(self) -> None:
        """Moves caught signals from the pipe to the unread ones."""
        try:
            numbers = os.read(self.descriptor, _READ_BYTES)
        except BlockingIOError:
            return
        self._unread.extend(signal.Signals(number) for number in numbers)

    def ignore(self) -> None:
        """Ignores signals from now on: the process is about to exit.

        The interpreter resets handlers while it exits, but no ignored signal.
        """
        for number in CAUGHT_NUMBERS:
            signal.signal(number, signal.SIG_IGN)

    def close(self) -> None:
        """Restores the former handlers and closes the pipe."""
        for number, handler in self._former_handlers.items():
            signal.signal(number, handler)
        os.close(self.descriptor)
        os.close(self._write_descriptor)
