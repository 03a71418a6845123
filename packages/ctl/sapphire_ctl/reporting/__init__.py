"""The report on service-level burn as text, JSON and HTML."""
