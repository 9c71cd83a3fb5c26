"""Event loop and network of the bench, on virtual time."""
