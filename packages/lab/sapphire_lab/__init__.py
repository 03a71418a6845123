"""Fakes, test builders, measurements and the demonstration."""
