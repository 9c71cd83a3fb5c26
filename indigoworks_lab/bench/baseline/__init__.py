"""Baselines that are not made of the product."""
