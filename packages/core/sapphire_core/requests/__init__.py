"""The life cycle of requests: limits, queues, retries, at most once."""
