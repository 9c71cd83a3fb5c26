"""Errors of the configuration."""

from indigoworks.common.errors import IndigoworksError


class ConfigurationInvalid(IndigoworksError):
    """The configuration cannot be put in force; the previous one stays in force."""

    kind = "configuration_invalid"
