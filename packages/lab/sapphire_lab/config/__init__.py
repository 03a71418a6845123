"""Builders, fakes, tests and measurements of configuration."""
