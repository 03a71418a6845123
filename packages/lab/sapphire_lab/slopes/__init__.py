"""Slopes of cost by size, and the capacity that follows from them."""
