"""Membership of hosts: probes, suspicion, gossip and versioned facts."""
