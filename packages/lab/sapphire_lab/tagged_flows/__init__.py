"""Builders, a load simulation and measurements for tagged flows."""
