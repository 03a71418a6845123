"""What entry hosts know of each other, and which of them follow the store."""
