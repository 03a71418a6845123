"""Growth of cost with size, and the capacity that follows from it."""
