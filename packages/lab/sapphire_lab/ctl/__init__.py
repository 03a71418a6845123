"""Bench for tests of the command line."""
