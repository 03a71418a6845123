"""Gossip messages on the wire."""
