"""Copies of single rules of the system with a fault put in, to show that a checker notices."""
