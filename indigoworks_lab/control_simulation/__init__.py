"""Simulation of the real code that leads a control group, on a virtual clock.

Nodes run the parts of `indigoworks/gateway/control_subsystem.py`; the store, the servers and the
network are models with faults. Checkers look from outside, at what reached store and servers.
"""
