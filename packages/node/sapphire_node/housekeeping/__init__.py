"""Drops old pool generations that no flow needs any more."""
