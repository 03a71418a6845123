"""Test builders, fakes, and the simulation that measures requests."""
