"""Operators' intent: merging, spreading and leases, without I/O."""
