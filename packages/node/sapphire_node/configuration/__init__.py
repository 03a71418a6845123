"""The task that brings the newest configuration to this host."""
