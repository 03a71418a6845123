"""A simulated network of membership cores, and measurements of it."""
