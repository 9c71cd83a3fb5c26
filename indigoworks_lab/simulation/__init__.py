"""The real code on a virtual clock and a simulated network."""
