"""The product's ports, served by simulated machines instead of HTTP."""
