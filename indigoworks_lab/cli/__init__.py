"""The command line of the lab."""
