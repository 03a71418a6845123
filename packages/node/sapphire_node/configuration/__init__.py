"""Keeps the configuration of this host up to date."""
