"""Passes over the tests that are known to fail, and over no others."""
