"""HTTP interface of the stand-in of the platform."""

from tornado.web import Application

from indigoworks_lab.platform.lab_faults_handler import LabFaultsHandler
from indigoworks_lab.platform.lab_machine_handler import LabMachineHandler
from indigoworks_lab.platform.machines_handler import MachinesHandler
from indigoworks_lab.platform.object_handler import ObjectHandler
from indigoworks_lab.platform.platform_state import PlatformState
from indigoworks_lab.platform.table_row_handler import TableRowHandler
from indigoworks_lab.platform.transact_handler import TransactHandler


def platform_application(state: PlatformState) -> Application:
    """Return the application that serves `state`."""
    arguments = {"state": state}
    return Application(
        [
            (r"/tables/rows/(.+)", TableRowHandler, arguments),
            (r"/tables/transact", TransactHandler, arguments),
            (r"/objects/(.+)", ObjectHandler, arguments),
            (r"/machines", MachinesHandler, arguments),
            (r"/lab/machines/([^/]+)", LabMachineHandler, arguments),
            (r"/lab/faults", LabFaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
