"""Reports of an experiment."""
