"""Service-level counts on a host, and the burn of error budgets over hosts."""
