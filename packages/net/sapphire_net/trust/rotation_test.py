import pathlib
import tempfile

import anyio
import testtools

from sapphire_lab.trust import builders
from sapphire_lab.trust import certificates
from sapphire_net.trust import failures
from sapphire_net.trust import keys
from sapphire_net.trust import roles
from sapphire_net.trust import rotation
from sapphire_net.trust import tls

_INTERVAL_MS = 1


class RotationTest(testtools.TestCase):
    def test_each_change_and_failure_is_sent_once(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            anyio.run(self._rotate, pathlib.Path(name))

    async def _rotate(self, directory: pathlib.Path) -> None:
        path = directory / "keys.json5"
        authority = certificates.CertificateAuthority("trial")
        files = authority.issue(directory / "tls", "entry-1", "host")
        context = tls.create_reloading_tls(
            files, is_server=True, permitted_roles=roles.ANY_ROLE
        ).ok
        send, receive = anyio.create_memory_object_stream[
            rotation.RotationEvent
        ]()
        async with send, receive, anyio.create_task_group() as tasks:
            tasks.start_soon(
                rotation.watch_files,
                keys.KeyFileWatcher(path),
                [context],
                send,
                _INTERVAL_MS,
            )
            self.assertIsInstance(
                await receive.receive(), failures.KeyFileFailure
            )
            builders.write_key_file(path, {1: builders.secret(1)}, 1)
            self.assertEqual(
                rotation.KeysReplaced(builders.key_ring(1)),
                await receive.receive(),
            )
            path.write_text("{")
            self.assertIsInstance(
                await receive.receive(), failures.KeyFileFailure
            )
            key = files.private_key.read_bytes()
            files.private_key.write_bytes(b"")
            self.assertIsInstance(
                await receive.receive(), failures.TlsFileFailure
            )
            files.private_key.write_bytes(key)
            self.assertEqual(
                rotation.CertificatesReplaced(str(files.certificate)),
                await receive.receive(),
            )
            tasks.cancel_scope.cancel()
