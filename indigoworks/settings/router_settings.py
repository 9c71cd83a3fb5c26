"""Settings of a router process."""

from indigoworks.settings.process_settings import ProcessSettings


class RouterSettings(ProcessSettings):
    """Settings of one router; the fields are those of ProcessSettings."""
