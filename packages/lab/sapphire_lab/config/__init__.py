"""Builders, fakes and the measurement of configuration."""
