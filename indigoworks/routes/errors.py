"""Typed errors of the configuration."""

from indigoworks.common.errors import IndigoworksError


class ConfigurationInvalid(IndigoworksError):
    """A configuration that cannot be put in force; the one before stays."""

    kind = "configuration_invalid"
