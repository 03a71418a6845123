"""A store of claims for hosts that have none to use."""

import expression

from sapphire_core.requests import data as request_data
from sapphire_core.requests import failures as request_failures


class UnclaimableStore:
    """Claims nothing, so that requests that need a claim are refused."""

    async def apply(
        self, batch: request_data.ClaimBatch
    ) -> expression.Result[
        request_data.ClaimsApplied, request_failures.ClaimFailure
    ]:
        """Refuses the batch."""
        del batch
        return expression.Error(request_failures.ClaimFailure("no store"))
