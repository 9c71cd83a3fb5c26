"""Runs the feature files of behave in several processes."""
