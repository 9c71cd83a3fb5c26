"""Agreement of the controllers of one control group: replicated log, leases, generations."""
