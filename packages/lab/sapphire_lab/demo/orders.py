"""Callers that send orders.

An order is a request that must run at most once; it has an idempotency key.
"""

from collections.abc import Callable
import dataclasses
import enum
import random
import uuid

import httpx

from sapphire_lab.demo import deployments

OUTCOME_HEADER = "sapphire-outcome"
MAX_ATTEMPTS = 3
TIMEOUT_S = 8.0


class OrderOutcome(enum.Enum):
    """The final outcome of an order as its caller knows it.

    ANSWERED: The order ran, and the caller got its response.
    NOT_RUN: The order was refused or could not be sent; it did not run.
    UNKNOWN: A host reported that the order may have run.
    LOST: The caller got no response, no stated outcome, or the response to
        another order.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    LOST = "lost"


@dataclasses.dataclass(slots=True)
class OrderCounters:
    """Outcomes of all orders.

    Attributes:
        outcome_by_key: The outcome of each order by its idempotency key.
        wrong_answers: Responses that belong to another order.
        broken_address_by_key: The host at which the connection of an order
            broke before its response, by idempotency key.
        killed_addresses: The hosts that the scenario has killed.
    """

    outcome_by_key: dict[str, OrderOutcome] = dataclasses.field(
        default_factory=dict
    )
    wrong_answers: int = 0
    broken_address_by_key: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    killed_addresses: set[str] = dataclasses.field(default_factory=set)

    def count_lost_answers(self) -> int:
        """Returns how many orders were lost at hosts that were not killed."""
        lost = 0
        for key, outcome in self.outcome_by_key.items():
            if outcome is not OrderOutcome.LOST:
                continue
            if self.broken_address_by_key.get(key) in self.killed_addresses:
                continue
            lost += 1
        return lost

    def count(self, outcome: OrderOutcome) -> int:
        """Returns how many orders ended in an outcome.

        Args:
            outcome: The outcome.
        """
        return sum(ended is outcome for ended in self.outcome_by_key.values())


class OrderCallers:
    """Sends each order to a random entry host."""

    def __init__(self, pick_host: Callable[[], str | None], seed: int) -> None:
        """Creates the callers.

        Args:
            pick_host: Returns the address of an entry host, None if there is
                none.
            seed: The seed of the idempotency keys.
        """
        self.counters = OrderCounters()
        self._pick_host = pick_host
        self._random = random.Random(seed)
        limits = httpx.Limits(max_keepalive_connections=0)
        self._http = httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits)

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._http.aclose()

    async def send_order(self, service: str) -> None:
        """Sends one order and records its outcome.

        While the order is known not to have run, the caller sends it again with
        the same key to a random host, `MAX_ATTEMPTS` times in all.

        Args:
            service: The name of the service.
        """
        key = str(uuid.UUID(int=self._random.getrandbits(128), version=4))
        outcome = OrderOutcome.NOT_RUN
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(service, key)
            if outcome is not OrderOutcome.NOT_RUN:
                break
        self.counters.outcome_by_key[key] = outcome

    async def _attempt(self, service: str, key: str) -> OrderOutcome:
        """Sends an order to one host and returns the outcome."""
        address = self._pick_host()
        if address is None:
            return OrderOutcome.NOT_RUN
        url = f"http://{address}:{deployments.REQUEST_PORT}/orders"
        try:
            response = await self._http.post(
                url,
                content=b'{"item": "lilies"}',
                headers={"host": service, "idempotency-key": key},
            )
        except httpx.ConnectError:
            return OrderOutcome.NOT_RUN
        except httpx.HTTPError:
            self.counters.broken_address_by_key[key] = address
            return OrderOutcome.LOST
        return self._parse_outcome(response, key)

    def _parse_outcome(
        self, response: httpx.Response, key: str
    ) -> OrderOutcome:
        """Returns the outcome that a response states."""
        if response.is_success:
            if response.json().get("run") != key:
                self.counters.wrong_answers += 1
                return OrderOutcome.LOST
            return OrderOutcome.ANSWERED
        stated_outcome = response.headers.get(OUTCOME_HEADER, "")
        if stated_outcome == "not-run":
            return OrderOutcome.NOT_RUN
        if stated_outcome == "unknown":
            return OrderOutcome.UNKNOWN
        return OrderOutcome.LOST
