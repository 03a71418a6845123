"""Builders for flows whose upstream travels in a tag."""
