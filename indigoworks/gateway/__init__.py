"""The gateway: one process a machine, which routes requests and takes part in control."""
