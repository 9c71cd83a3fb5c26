"""Runs of real processes under faults, judged by the checkers of histories."""
