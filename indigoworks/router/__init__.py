"""The router: accepts callers' requests and dispatches each to the owner of its key.

The controllers assign ranges of keys to servers and send the assignments to routers as views. The
version of a view is an index in the controllers' log, comparable only within one generation of the
control group. The token of an assignment is a fencing token: a later owner of a key has a larger
one. For each server one router is the dispatcher, which queues all requests to it, unless the
settings let every router send directly.

Routers and controllers (`indigoworks.controller`) are separate processes. The gateway
(`indigoworks.gateway`) is the other arrangement: one process a machine does both. Neither package
imports the other. Route and ServerRecord exist in both arrangements with different meanings; what
is a settings tree and an incarnation of a process here is a configuration and a boot there.
"""
