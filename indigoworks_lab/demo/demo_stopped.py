"""The end of a demo that cannot go on."""


class DemoStopped(Exception):
    """A step failed on which all later ones depend; raised to the top of the demo only."""
