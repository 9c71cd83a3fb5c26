"""The administration API."""

from indigoworks.admin.admin_call import AdminCall
from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.administration import Administration
from indigoworks.admin.change_progress import ChangeProgress
from indigoworks.admin.control_plane import ControlPlane
from indigoworks.admin.control_plane_status import ControlPlaneStatus
from indigoworks.admin.errors import AdminError
from indigoworks.admin.router_presence import RouterPresence
from indigoworks.admin.settings_accepted import SettingsAccepted
from indigoworks.admin.settings_change import SettingsChange

__all__ = [
    "AdminCall",
    "AdminError",
    "AdminResponse",
    "Administration",
    "ChangeProgress",
    "ControlPlane",
    "ControlPlaneStatus",
    "RouterPresence",
    "SettingsAccepted",
    "SettingsChange",
]
