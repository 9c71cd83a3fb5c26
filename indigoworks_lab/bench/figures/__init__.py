"""What is measured during a run, and the figures made of it."""
