"""Test builders, a fake fabric and the simulation of flow routing."""
