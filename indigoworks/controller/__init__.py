"""The controller: leases, ownership, settings and views, for routers.

It keeps its state in the replicated log of `controllog` and runs as a process of its own.
`ownership` does the same task for gateways, whose leader keeps its state in rows of a store; the
two share no state. Their terms correspond: term here, epoch there; generation and era; lease and
hold; back end and server.
"""
