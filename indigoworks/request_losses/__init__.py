"""Which requests were refused, lost or late, and why, from the log lines of the gateways."""
