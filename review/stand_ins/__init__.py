"""Small stand-ins of the platform, its clients and its targets."""
