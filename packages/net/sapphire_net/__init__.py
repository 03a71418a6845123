"""Input and output: sockets, HTTP, store client, TLS, logs and metrics."""
