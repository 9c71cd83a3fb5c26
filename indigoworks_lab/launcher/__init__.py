"""Starts the processes of a deployment on loopback."""
