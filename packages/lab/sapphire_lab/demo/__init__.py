"""The demonstration: both deployments in miniature, under change."""
