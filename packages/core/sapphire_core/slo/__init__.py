"""Service-level counts of a host, and burn rates over several hosts."""
