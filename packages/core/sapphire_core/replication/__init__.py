"""Copies of the platform's store that hosts keep and tell each other."""
