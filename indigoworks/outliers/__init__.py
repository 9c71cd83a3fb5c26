"""Outlier ejection: servers that fail while others of their service do not get fewer requests."""
