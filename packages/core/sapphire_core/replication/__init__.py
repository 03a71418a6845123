"""Replicas of the platform's store, which hosts send to each other."""
