import anyio
import testtools

from sapphire_lab.tagged_flows import host_builders
from sapphire_net import http1
from sapphire_node.entry import readiness


class ReadinessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.state = host_builders.state()
        self.state.is_ready = True

    def status(self) -> int:
        """Returns the status of the response to a readiness check."""
        server = readiness.ReadinessServer(self.state)
        path = self.state.settings.readiness_path
        return anyio.run(server._answer, "GET", path).status

    def test_a_ready_host_is_in_rotation(self) -> None:
        self.assertEqual(http1.OK, self.status())

    def test_a_host_that_reaches_no_upstream_is_out_of_rotation(self) -> None:
        self.state.is_cut_off = True
        self.assertEqual(http1.UNAVAILABLE, self.status())

    def test_a_starting_or_leaving_host_is_out_of_rotation(self) -> None:
        self.state.is_ready = False
        self.assertEqual(http1.UNAVAILABLE, self.status())
        self.state.is_ready = True
        self.state.leaving.set()
        self.assertEqual(http1.UNAVAILABLE, self.status())
