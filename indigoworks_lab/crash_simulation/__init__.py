"""Gateways on virtual time before servers that some requests bring to an end."""
