"""Records, typed failures and the clock, which all packages share."""
