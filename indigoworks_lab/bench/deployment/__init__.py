"""Processes of one run: the real ones of the product, and stand-ins around them."""
