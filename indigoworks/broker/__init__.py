"""Slots at servers, granted for all gateways by one of them: it alone counts a server's work."""
