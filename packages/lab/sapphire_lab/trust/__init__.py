"""Builders and measurements for the authentication of hosts."""
