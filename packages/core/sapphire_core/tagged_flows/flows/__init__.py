"""Open flows: their records and the load they bring."""
