import pathlib
import tempfile

import anyio
import testtools

from sapphire_node import host_list_task
from sapphire_node import messages

FIRST = b"""{hosts: [
  {address: "192.0.2.1", control_port: 7400},
  {address: "192.0.2.2", control_port: 7400, leaving: true},  // Not a seed.
]}"""
SECOND = b'{"hosts": [{"address": "192.0.2.3", "control_port": 7400}]}'


class HostListTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "hosts.json5"

    def read(self, *contents: bytes | None) -> list[tuple[str, ...]]:
        """Reads the file with each content; None stands for a missing file.

        Returns:
            The addresses of each list that was sent to the control task.
        """

        async def body() -> list[tuple[str, ...]]:
            send, receive = anyio.create_memory_object_stream[
                messages.ToControl
            ](8)
            task = host_list_task.HostListTask(self.path, send)
            for content in contents:
                if content is None:
                    self.path.unlink(missing_ok=True)
                else:
                    self.path.write_bytes(content)
                await task.read_once()
            send.close()
            listed = []
            async for message in receive:
                assert isinstance(message, messages.HostListChanged)
                listed.append(tuple(seed.address for seed in message.hosts))
            return listed

        return anyio.run(body)

    def test_a_changed_list_is_sent_once(self) -> None:
        listed = self.read(FIRST, FIRST, SECOND)
        self.assertEqual([("192.0.2.1",), ("192.0.2.3",)], listed)

    def test_unusable_files_leave_the_last_list_in_use(self) -> None:
        faults = (None, b"", b"\xff", b'{"hosts": [{"address": "x"}]}')
        for fault in faults:
            listed = self.read(FIRST, fault, SECOND)
            self.assertEqual([("192.0.2.1",), ("192.0.2.3",)], listed)
