"""The controller: leases, ownership, settings and views."""
