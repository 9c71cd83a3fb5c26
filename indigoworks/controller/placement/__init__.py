"""Placement: weights of ranges and servers, splits, and moves between servers."""
