"""The router: serves callers and dispatches to owners."""
