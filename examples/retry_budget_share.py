"""The retry budget limits retries to a share of the first attempts."""

from sapphire_core.requests import retry_budget

budget = retry_budget.RetryBudget(share=0.1, tokens=0.0)
retries = 0
for _ in range(1_000):
    budget.record_first_attempt()
    if budget.spend(1.0):
        retries += 1
print(f"{retries} retries for 1,000 first attempts")
