"""Settings of a controller process."""

from indigoworks.settings.process_settings import ProcessSettings


class ControllerSettings(ProcessSettings):
    """Settings of one controller; the fields are those of ProcessSettings."""
