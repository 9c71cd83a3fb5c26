"""Memory of requests under which servers ended, shared by all gateways."""
