"""Replicated log in rows of the table service, with one leader elected by a lease there."""
