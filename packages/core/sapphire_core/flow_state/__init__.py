"""Where the packets of flows go, whatever holds the state of the flows."""
