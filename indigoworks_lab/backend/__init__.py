"""Stand-in of a back end."""
