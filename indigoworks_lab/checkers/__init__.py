"""Checkers of recorded histories."""
