"""The daemon of an entry host whose fabric returns tags.

The platform keeps the configuration and the registry of upstreams.
"""
