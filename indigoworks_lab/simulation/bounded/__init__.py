"""Exhaustive searches of two small cases, within a bound on the deviations from the usual."""
