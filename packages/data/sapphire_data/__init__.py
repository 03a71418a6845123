"""Records, typed failures and the clock that all packages share."""
