"""Authentication of hosts and operators."""
