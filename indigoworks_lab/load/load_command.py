"""The command `indigoworks-lab load`."""

import asyncio
from collections.abc import Sequence

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.common.errors import IndigoworksError
from indigoworks_lab.load.load_errors import LoadError
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_report import LoadReport
from indigoworks_lab.load.run_load import load_backend, load_routers

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_MISUSE = 2


def run_load_command(plan: LoadPlan, routers: str, backend: str, as_json: bool) -> int:
    """Run `plan`, print the result and return the exit code.

    :param routers: addresses of routers (ip:port) joined by commas, or empty.
    :param backend: address of one back end, or empty; exactly one of both is given.
    """
    addresses = _parse_addresses(backend or routers)
    if addresses is None or bool(routers) == bool(backend):
        print("Give either --routers or --backend, as ip:port; routers joined by commas.")
        return EXIT_MISUSE
    result = asyncio.run(_run(plan, addresses, is_direct=bool(backend)))
    if result.is_err():
        print(result.unwrap_err())
        return EXIT_REFUSED
    report = result.unwrap()
    print(report.model_dump_json(indent=2) if as_json else report.as_text())
    return EXIT_DONE


async def _run(
    plan: LoadPlan, addresses: Sequence[Address], is_direct: bool
) -> Result[LoadReport, IndigoworksError]:
    clock = LoopClock()
    if is_direct:
        result = await load_backend(plan, addresses[0], clock)
    else:
        result = Ok(await load_routers(plan, addresses, clock))
    if result.is_ok() and result.unwrap().completed.count == 0:
        return Err(_nothing_completed(result.unwrap()))
    return result


def _nothing_completed(report: LoadReport) -> LoadError:
    return LoadError(
        f"No request was completed. {report.as_text()}",
        "Check that the address is right and that the service is in the settings tree.",
    )


def _parse_addresses(text: str) -> tuple[Address, ...] | None:
    try:
        return tuple(_parse_address(part) for part in text.split(","))
    except ValueError:
        return None


def _parse_address(text: str) -> Address:
    host, _, port = text.strip().rpartition(":")
    if not host:
        raise ValueError("an address is ip:port")
    return Address(host, int(port))
