"""Queries of the hosts' HTTP APIs."""
