"""Builders, fakes and the measurement of requests."""
