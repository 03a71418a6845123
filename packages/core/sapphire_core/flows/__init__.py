"""Flow routing: bucket tables, replica hosts, barriers, slow start, drain."""
