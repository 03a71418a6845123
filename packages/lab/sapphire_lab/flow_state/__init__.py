"""Simulated fleets for each implementation of flow state."""
