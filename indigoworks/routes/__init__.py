"""Routes by host and path, services and limits: the operator's configuration in force."""
