"""The decisions about flows, with their reasons, for logs and counters."""

from collections.abc import Callable
import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table


@dataclasses.dataclass(slots=True)
class Decision:
    """A decision about one packet and its reasons, for logs and counters.

    Attributes:
        verdict: What happened to the packet.
        flow_id: The flow of the packet.
        upstream_id: The upstream concerned, empty for none.
        service: The service of that upstream, empty for none.
        detail: The inputs of the decision, by log field.
    """

    verdict: data.Verdict
    flow_id: data.FlowId
    upstream_id: str
    service: str
    detail: dict[str, str | int | float]


DecisionCallback = Callable[[Decision], None]


class DecisionReporter:
    """Passes decisions to a callback.

    Args:
        on_decision: Called with each decision that changes the state of a
            flow.
    """

    def __init__(self, on_decision: DecisionCallback) -> None:
        self._on_decision = on_decision

    def report(
        self,
        verdict: data.Verdict,
        packet: data.Packet,
        entry: upstream_table.Entry | None,
        **detail: str | int | float,
    ) -> None:
        """Reports a decision.

        Args:
            verdict: What happened to the packet.
            packet: The packet.
            entry: The upstream concerned, None for none.
            **detail: The inputs of the decision, by log field.
        """
        self._on_decision(
            Decision(
                verdict,
                packet.flow_id,
                entry.upstream.upstream_id if entry is not None else "",
                entry.upstream.service if entry is not None else "",
                detail,
            )
        )
