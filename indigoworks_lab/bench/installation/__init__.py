"""The installations that the bench models."""
