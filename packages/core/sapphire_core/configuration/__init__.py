"""Merging, checking and propagation of configurations; leases; no I/O."""
