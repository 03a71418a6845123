"""Encodes and decodes messages and documents, and validates untrusted input."""
