"""Typed records of what happened in a run, in true (virtual) time, in seconds."""
