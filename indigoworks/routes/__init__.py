"""The operator's configuration: routes by host and path, services, limits and group weights."""
