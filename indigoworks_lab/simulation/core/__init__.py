"""The simulated machines: event loop, network, processes, clocks and calls."""
