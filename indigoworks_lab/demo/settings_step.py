"""Steps: put the first tree in force, and change a setting."""

import asyncio
import json
from copy import deepcopy
from http import HTTPStatus
from pathlib import Path
from typing import Any

from indigoworks.common.address import Address
from indigoworks_lab.client.json_answer import JsonAnswer
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.demo.command_result import CommandResult
from indigoworks_lab.demo.demo_context import DemoContext
from indigoworks_lab.demo.demo_stopped import DemoStopped
from indigoworks_lab.demo.operator_command import run_operator_command
from indigoworks_lab.launcher.sample_services import CATALOGUE
from indigoworks_lab.launcher.sample_tree import sample_tree

SETTINGS_PATH = "/admin/v1/settings"
CHANGE_ID = "demo-limit"
FIRST_TREE_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 10.0
CHANGED_BODY_LIMIT_BYTES = 1_000
BODY_BYTES = 2_000


async def put_first_tree(context: DemoContext) -> None:
    """Put the sample tree at one of the controllers; any of them passes it to the leader."""
    context.account.title("Putting the settings tree of Amman")
    address = context.plan.controllers[-1].http
    fields = {"change_id": "demo-first", "expected_version": 0, "tree": sample_tree()}
    answers: list[JsonAnswer] = []

    async def is_accepted() -> bool:
        answers.append(await context.client.put(address, SETTINGS_PATH, fields))
        return answers[-1].status == HTTPStatus.OK

    accepted = await becomes_true(is_accepted, FIRST_TREE_TIMEOUT_S)
    context.account.check("a controller accepts the tree", accepted, answers[-1:])
    if not accepted:
        raise DemoStopped("no settings tree")


async def change_setting(context: DemoContext) -> None:
    """Lower the body limit of the catalogue through one router and see it at every router."""
    context.account.title("Changing a setting: max_body_bytes of the catalogue")
    routers = [router.http for router in context.plan.routers]
    before = await asyncio.gather(*(_big_put(context, router) for router in routers))
    context.account.check(
        f"a body of {BODY_BYTES} bytes is accepted before", before == [200] * 3, before
    )
    shown = await context.client.get(routers[0], SETTINGS_PATH)
    version = int(shown.body.get("version", 0))
    tree_file = _write_changed_tree(context, shown.body["tree"])
    await _apply_and_measure(context, tree_file, version)
    await _check_second_operator(context, tree_file, version)


async def _apply_and_measure(context: DemoContext, tree_file: Path, version: int) -> None:
    routers = [router.http for router in context.plan.routers]
    started_s = asyncio.get_running_loop().time()
    accepted, in_force_s = await asyncio.gather(
        _apply(context, tree_file, version, CHANGE_ID, routers[0]),
        asyncio.gather(*(_in_force_s(context, router, started_s) for router in routers)),
    )
    context.account.check(
        f"`indigoworks settings apply` on version {version} is accepted through a router",
        accepted.exit_code == 0,
        accepted,
    )
    context.account.check(
        "every router now refuses the same body with 413", None not in in_force_s, in_force_s
    )
    times = ", ".join(f"{each:.2f} s" for each in in_force_s if each is not None)
    context.account.say(f"from the start of the command until each router did: {times}")
    await _check_reported(context, routers[2], version + 1, started_s)


async def _check_second_operator(context: DemoContext, tree_file: Path, version: int) -> None:
    router = context.plan.routers[1].http
    refused = await _apply(context, tree_file, version, "demo-second-operator", router)
    context.account.check(
        f"a second operator's change of version {version} is refused",
        refused.exit_code == 1 and "conflict" in refused.output,
        refused,
    )
    context.account.say("it says: " + refused.output.splitlines()[0])


async def _apply(
    context: DemoContext, tree_file: Path, version: int, change_id: str, router: Address
) -> CommandResult:
    arguments = [
        "settings",
        "apply",
        str(tree_file),
        f"--expected-version={version}",
        f"--change-id={change_id}",
        f"--node=http://{router}",
    ]
    return await run_operator_command(context.deployment.launcher, change_id, arguments)


async def _in_force_s(context: DemoContext, router: Address, started_s: float) -> float | None:
    async def is_refused() -> bool:
        return await _big_put(context, router) == HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    if not await becomes_true(is_refused, IN_FORCE_TIMEOUT_S):
        return None
    return asyncio.get_running_loop().time() - started_s


async def _check_reported(
    context: DemoContext, router: Address, version: int, started_s: float
) -> None:
    progress_path = f"{SETTINGS_PATH}/changes/{CHANGE_ID}"
    answers: list[JsonAnswer] = []

    async def is_everywhere() -> bool:
        answers.append(await context.client.get(router, progress_path))
        return answers[-1].status == HTTPStatus.OK and answers[-1].body["is_everywhere"] is True

    everywhere = await becomes_true(is_everywhere, IN_FORCE_TIMEOUT_S)
    elapsed_s = asyncio.get_running_loop().time() - started_s
    body = answers[-1].body
    context.account.check(
        f"version {version} is reported in force at 3 of 3 routers, after {elapsed_s:.2f} s",
        everywhere and (body["version"], body["routers_in_force"]) == (version, 3),
        answers[-1],
    )


async def _big_put(context: DemoContext, router: Address) -> int:
    body = b"x" * BODY_BYTES
    answer = await context.caller.call(router, "PUT", CATALOGUE, "item-0", body)
    return answer.status


def _write_changed_tree(context: DemoContext, tree: dict[str, Any]) -> Path:
    changed = deepcopy(tree)
    changed["services"][CATALOGUE]["max_body_bytes"] = CHANGED_BODY_LIMIT_BYTES
    tree_file = context.deployment.launcher.log_directory / "changed.tree.json"
    tree_file.write_text(json.dumps(changed, indent=2))
    return tree_file
