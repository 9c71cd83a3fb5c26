"""The router: accepts callers' requests and dispatches each to the owner of its key."""
