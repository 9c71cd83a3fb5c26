"""The story of a key's owners: the log lines that show how the owner of a key changed.

The lines come from the logs of one or several gateways. Each line that shows an ownership transfer
is checked for evidence that another server may still have held the key.
"""
