"""Servers (back ends) that the platform lists, and what they report of themselves."""
