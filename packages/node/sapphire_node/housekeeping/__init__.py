"""Truncates the history of pool generations that no flow needs any more."""
