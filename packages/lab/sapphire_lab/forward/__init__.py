"""The measurement of the forwarding path."""
