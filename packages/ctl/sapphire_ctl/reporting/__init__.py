"""The report on the burn rates of service-level objectives."""
