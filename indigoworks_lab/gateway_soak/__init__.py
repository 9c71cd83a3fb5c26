"""Soak of real gateway processes: records of what callers and servers saw, and what judges them."""
