"""Stand-in of the platform: table service, object store, machine list."""
