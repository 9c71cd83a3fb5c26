"""Loads and events of the experiments."""
