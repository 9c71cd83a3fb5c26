"""Decides which server owns which keys: leadership, ownership rows, grants, placement."""
