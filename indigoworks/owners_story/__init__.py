"""How the owner of a key changed, from the log lines of one or several gateways."""
