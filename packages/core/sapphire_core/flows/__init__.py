"""Flow routing: bucket tables, keepers, barriers, start ramp and drain."""
