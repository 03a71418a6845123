"""The engine refuses a request and reports that the request did not run."""

import random

from sapphire_core.requests import data
from sapphire_core.requests import engine

request_engine = engine.Engine("h1", random.Random(1))
request_engine.begin_drain()
request = data.Request(
    serial=1,
    service="rota",
    caller="192.0.2.7",
    is_idempotent=True,
    idempotency_key=None,
    deadline_ms=5_000,
    retries_left=1,
)
for action in request_engine.handle(data.RequestArrived(request), now_ms=0):
    print(action)
