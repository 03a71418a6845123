"""Runs whole daemons in the process of a test."""
