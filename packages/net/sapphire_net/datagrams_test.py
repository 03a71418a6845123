import socket

import anyio
import testtools

from sapphire_net import datagrams


class ReceiveTest(testtools.TestCase):
    def test_an_error_over_one_datagram_does_not_end_reading(self) -> None:
        received: list[bytes] = []

        def handle(datagram: bytes) -> None:
            if datagram == b"bad":
                raise KeyError(datagram)
            received.append(datagram)

        async def main() -> None:
            receiver = datagrams.open_socket(("127.0.0.1", 0))
            sender = datagrams.open_socket(("127.0.0.1", 0))
            with receiver, sender:
                for datagram in (b"1", b"bad", b"2"):
                    sender.sendto(datagram, receiver.getsockname())
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        datagrams.receive_all, receiver, 10, handle, print
                    )
                    with anyio.fail_after(30):
                        while len(received) < 2:
                            await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual([b"1", b"2"], received)

    def test_addresses_that_are_none_raise_the_listed_errors(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for address in (
                ("127.0.0.1", 70_000),
                ("127.0.0.1", -1),
                ("a\0b", 1),
                ("\u00e9" * 100, 1),
            ):
                with self.assertRaises(datagrams.SEND_ERRORS):
                    udp.sendto(b"x", address)
