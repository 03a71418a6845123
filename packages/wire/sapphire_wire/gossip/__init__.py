"""The wire format of gossip messages."""
