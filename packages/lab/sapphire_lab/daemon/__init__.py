"""Whole daemons in the process of a test, for tests of their life."""
