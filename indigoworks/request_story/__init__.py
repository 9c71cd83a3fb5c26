"""The story of one request, from the log lines of one or several gateways."""
