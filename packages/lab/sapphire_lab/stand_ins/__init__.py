"""Fake servers that replace outside systems in tests."""
