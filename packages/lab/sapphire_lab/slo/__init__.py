"""Builders and measurements for service-level counts."""
