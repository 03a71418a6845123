"""The peers of an entry host, store followers, and graceful shutdown."""
