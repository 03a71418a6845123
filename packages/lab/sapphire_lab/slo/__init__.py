"""Builders and a benchmark of service-level counts."""
