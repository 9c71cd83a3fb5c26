"""End of a measurement that cannot go on."""


class ScaleStopped(Exception):
    """A point could not be measured to its end; the text tells at which step and why."""
