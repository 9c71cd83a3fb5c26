"""Which server owns which keys: rows of the store, leadership, grants, placement."""
