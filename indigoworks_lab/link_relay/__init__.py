"""A TCP relay between the processes of a run, which cuts, delays and heals links."""
