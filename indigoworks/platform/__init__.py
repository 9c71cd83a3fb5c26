"""Ports to the platform (table service, object store, machine list) and their HTTP adapters."""
