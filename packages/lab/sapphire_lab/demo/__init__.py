"""A small-scale run of both deployments under change and under faults."""
