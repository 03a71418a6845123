"""Carries requests over HTTP/1.1 from callers to upstreams."""
