"""Sockets, store client, TLS, logs and metrics round the core."""
