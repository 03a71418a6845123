import testtools

from sapphire_core.replication import data as replication_data
from sapphire_node.entry import peer_requests


class RequestPathTest(testtools.TestCase):
    def test_request_paths_are_parsed_or_rejected(self) -> None:
        registry = replication_data.Scope.REGISTRY
        for path, expected in (
            ("/items/2/530", peer_requests.PeerRequest(registry, 530)),
            ("/removed/2", peer_requests.PeerRequest(registry, None)),
            (
                "/carried/2/7",
                peer_requests.PeerRequest(
                    registry, None, 7, is_for_carried=True
                ),
            ),
            ("/items/2/7/530", peer_requests.PeerRequest(registry, 530, 7)),
            ("/items/2/x/530", None),
            ("/items/2/7/-1", None),
            ("/items/2/7/5/30", None),
            ("/items/2", None),
            ("/items/2/x", None),
            ("/items/9/1", None),
            ("/removed/9", None),
            ("/removed/2/1", None),
            ("/", None),
        ):
            self.assertEqual(expected, peer_requests.parse_request_path(path))
            if expected is not None:
                self.assertEqual(path, expected.path)
