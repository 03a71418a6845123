"""Reading of the hosts' APIs."""
