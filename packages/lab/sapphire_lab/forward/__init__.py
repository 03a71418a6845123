"""Measures the forwarding path of the daemon."""
