"""A draining host refuses a request, and it is true that it did not run."""

import random

from sapphire_core.requests import data
from sapphire_core.requests import engine

decisions = engine.Engine("h1", random.Random(1))
decisions.begin_drain()
request = data.Request(
    serial=1,
    service="rota",
    caller="192.0.2.7",
    is_idempotent=True,
    idempotency_key=None,
    deadline_ms=5_000,
    retries_left=1,
)
for action in decisions.handle(data.RequestArrived(request), now_ms=0):
    print(action)
