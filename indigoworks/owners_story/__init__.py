"""The story of a key's owners: the log lines that show how the owner of a key changed.

The lines come from the logs of one or several gateways. Lines on an
ownership transfer, an order sent with an old leadership proof, or a replaced server are checked for
evidence that another server may still have held the key.
"""
