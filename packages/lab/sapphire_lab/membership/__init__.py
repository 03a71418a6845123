"""A small network that drives membership cores, and its measurement."""
