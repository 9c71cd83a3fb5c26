"""Which servers this gateway reaches, and whose fault it is where it does not."""
