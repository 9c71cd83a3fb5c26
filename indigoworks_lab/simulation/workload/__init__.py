"""Callers, operators and the recording of what they see."""
