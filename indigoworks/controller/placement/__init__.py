"""Which server owns which range."""
