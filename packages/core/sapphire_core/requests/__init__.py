"""Request life cycle: admission, queueing, retries, at-most-once execution."""
