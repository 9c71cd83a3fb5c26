"""Decides which server owns which keys: leadership, ownership rows, grants, placement.

Used by gateways and brokers, whose leader keeps its state in rows of a store. `controller` does the
same task for routers; its docstring compares the terms.
"""
