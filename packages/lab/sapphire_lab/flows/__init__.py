"""Builders, the small fabric and the measurement of flow routing."""
