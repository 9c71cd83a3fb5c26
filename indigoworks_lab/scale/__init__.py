"""Scale run: real controllers beside many hollow routers and back ends."""
