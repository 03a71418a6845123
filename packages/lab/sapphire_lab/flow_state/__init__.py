"""Fleets of hosts that hold flow state in either way."""
