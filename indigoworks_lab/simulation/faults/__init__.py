"""Faults drawn from a seed."""
