"""Callers that make requests: idempotent reads and orders that are not."""

from collections.abc import Callable
import dataclasses
import enum
import random
import uuid

import httpx

from sapphire_lab.demo import deployments

OUTCOME_FIELD = "sapphire-outcome"
ATTEMPTS = 3
TIMEOUT_S = 8.0


class OrderOutcome(enum.Enum):
    """What a caller knows of its order in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class OrderCounters:
    """What the callers of requests saw.

    Attributes:
        outcome_by_key: The outcome of each order by its idempotency key.
        wrong_answers: Answers that belong to another request.
    """

    outcome_by_key: dict[str, OrderOutcome] = dataclasses.field(
        default_factory=dict
    )
    wrong_answers: int = 0

    def count(self, outcome: OrderOutcome) -> int:
        """Returns how many orders ended in an outcome.

        Args:
            outcome: The outcome.
        """
        return sum(item is outcome for item in self.outcome_by_key.values())


class OrderCallers:
    """Makes orders, each by way of any entry host."""

    def __init__(self, pick_host: Callable[[], str | None], seed: int) -> None:
        """Creates the callers.

        Args:
            pick_host: Returns the address of any entry host.
            seed: Seeds the identities of the orders.
        """
        self.counters = OrderCounters()
        self._pick_host = pick_host
        self._random = random.Random(seed)
        limits = httpx.Limits(max_keepalive_connections=0)
        self._http = httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits)

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.aclose()

    async def order(self, service: str) -> None:
        """Makes one order and notes its outcome.

        A caller tries again elsewhere only while the order is known not to
        have run; the key stays the same.

        Args:
            service: The name of the service.
        """
        key = str(uuid.UUID(int=self._random.getrandbits(128), version=4))
        outcome = OrderOutcome.NOT_RUN
        for _ in range(ATTEMPTS):
            outcome = await self._attempt(service, key)
            if outcome is not OrderOutcome.NOT_RUN:
                break
        self.counters.outcome_by_key[key] = outcome

    async def _attempt(self, service: str, key: str) -> OrderOutcome:
        """Sends an order once."""
        address = self._pick_host()
        if address is None:
            return OrderOutcome.NOT_RUN
        url = f"http://{address}:{deployments.REQUEST_PORT}/orders"
        try:
            answer = await self._http.post(
                url,
                content=b'{"item": "lilies"}',
                headers={"host": service, "idempotency-key": key},
            )
        except httpx.ConnectError:
            return OrderOutcome.NOT_RUN
        except httpx.HTTPError:
            return OrderOutcome.LOST
        return self._judge(answer, key)

    def _judge(self, answer: httpx.Response, key: str) -> OrderOutcome:
        """Returns the outcome that an answer states."""
        if answer.is_success:
            if answer.json().get("run") != key:
                self.counters.wrong_answers += 1
                return OrderOutcome.LOST
            return OrderOutcome.ANSWERED
        stated = answer.headers.get(OUTCOME_FIELD, "")
        if stated == "not-run":
            return OrderOutcome.NOT_RUN
        if stated == "unknown":
            return OrderOutcome.UNKNOWN
        return OrderOutcome.LOST
