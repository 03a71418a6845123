"""The health of upstreams, from openings and from what became of requests."""
