"""Stand-ins, builders, measurements and the demonstration."""
