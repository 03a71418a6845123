import testtools
from testtools import matchers

from sapphire_core.membership import data
from sapphire_lab.membership import builders
from sapphire_wire.gossip import message_codec

_LIMIT_BYTES = 1_200


class MessageEncodingTest(testtools.TestCase):
    def test_all_messages_of_a_busy_fleet_fit_the_limit_and_decode(
        self,
    ) -> None:
        net = builders.joined_fleet(1, data_centres=3, hosts_each=12)
        sizes_by_kind: dict[data.MessageKind, int] = {}

        def encode_and_decode(
            message: data.GossipMessage,
        ) -> data.GossipMessage:
            body = message_codec.encode(message)
            longest = max(sizes_by_kind.get(message.kind, 0), len(body))
            sizes_by_kind[message.kind] = longest
            return message_codec.decode(body).ok

        net.transform_message = encode_and_decode
        names = sorted(net.hosts_by_id)
        for index, host_id in enumerate(names[:20]):
            core = net.hosts_by_id[host_id].core
            size = 500 if index % 5 == 0 else 80
            fact = core.set_fact(f"f{index}", 1, b"x" * size, net.now_ms)
            net.apply_actions(host_id, fact.ok)
        for host_id in names:
            core = net.hosts_by_id[host_id].core
            net.apply_actions(
                host_id, core.set_prepared_revision(3, net.now_ms)
            )
        for host_id in names[20:26]:
            net.stop(host_id)
        net.run(8_000)
        joiner = builders.addresses(4, 1)[3]
        net.start(joiner, builders.seeds(builders.addresses(1, 1)))
        net.run(8_000)
        self.assertEqual(set(data.MessageKind), set(sizes_by_kind))
        longest = max(sizes_by_kind.values())
        self.assertThat(longest, matchers.LessThan(_LIMIT_BYTES + 1))
        facts = net.hosts_by_id[joiner.host_id].core.facts(net.now_ms)
        self.assertThat(facts, matchers.HasLength(20))
        view = net.hosts_by_id[names[0]].core.view()
        self.assertThat(view.members_by_id, matchers.HasLength(31))
