"""Settings of a gateway process."""

import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks.common.byte_budget import DEFAULT_MEMORY_MB
from indigoworks.common.errors import IndigoworksError
from indigoworks.gateway.settings_checks import TEMPLATE, InvalidField, find_invalid_field

MS_PER_S = 1000.0


class SettingsUnreadable(IndigoworksError):
    """The settings file is missing, unreadable or invalid."""

    kind = "settings_unreadable"


class SettingsInvalid(SettingsUnreadable):
    """A field has an invalid value; the message names it."""

    kind = "settings_invalid"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a process; see deploy/gateway.settings.template.

    :ivar peer_address: for the exchange with other gateways: UDP for reports, TCP for feeds.
    :ivar capacity_cores: processor cores that the process may use.
    :ivar link_mbit: bandwidth of the machine's link, in Mbit/s.
    :ivar memory_mb: memory of the machine, in MiB.
    :ivar metrics_address: HTTP address of metrics and administration.
    :ivar server_heartbeat_s: period in which servers renew their entries.
    :ivar drain_s: time after which a draining server must get no new requests.
    :ivar configuration_apply_s: time within which a new configuration must be in force.
    :ivar bounds_cold_servers: whether requests to cold servers are rate-limited: they are if the
        file has `cold_overshoot`, whatever its value.
    :ivar stop_grace_s: time from the stop signal until the process is killed.
    :ivar hold_max_s: longest lease on keys (hold) that a server accepts.
    :ivar retry_ratio: retries per request within `retry_window_s`, in addition to `retry_slack`.
    """

    node: str
    zone: str
    front_address: Address
    readiness_address: Address
    peer_address: Address
    metrics_address: Address
    store_address: Address
    server_heartbeat_s: float
    drain_s: float
    stop_grace_s: float
    hold_max_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    capacity_cores: float = 1.0
    link_mbit: float = 1000.0
    memory_mb: float = DEFAULT_MEMORY_MB
    configuration_apply_s: float = 2.0
    bounds_cold_servers: bool = False


def load_gateway_settings(path: str) -> Result[GatewaySettings, SettingsUnreadable]:
    """Read settings from a file and validate each field."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        return Err(
            SettingsUnreadable(
                f"The settings in {path} cannot be read ({type(error).__name__}: {error}).",
                f"Compare the file with {TEMPLATE}.",
            )
        )
    if not isinstance(document, dict):
        return Err(
            SettingsUnreadable(
                f"The settings in {path} are no JSON object.", f"Compare the file with {TEMPLATE}."
            )
        )
    invalid = find_invalid_field(document)
    return Ok(_settings(document)) if invalid is None else Err(_invalid(path, invalid))


def _invalid(path: str, invalid: InvalidField) -> SettingsInvalid:
    said = "is missing" if invalid.value is None else f"is {json.dumps(invalid.value)[:80]}"
    return SettingsInvalid(
        f"The settings in {path} cannot be used: {invalid.field} {said}.",
        f"Set {invalid.field} to {invalid.expected}; compare the file with {TEMPLATE}.",
    )


def _settings(document: dict[str, Any]) -> GatewaySettings:
    host = document["peer_host"]
    return GatewaySettings(
        node=document["node"],
        zone=document["zone"] or "",
        front_address=_address(document["front_address"]),
        readiness_address=_address(document["readiness_address"]),
        peer_address=Address(host, int(document["peer_port"])),
        metrics_address=Address(host, int(document["metrics_port"])),
        store_address=_address(document["store_address"]),
        server_heartbeat_s=float(document.get("server_heartbeat_ms", 1500.0)) / MS_PER_S,
        drain_s=float(document.get("drain_ms", 2000.0)) / MS_PER_S,
        stop_grace_s=float(document.get("stop_grace_s", 6.0)),
        hold_max_s=float(document.get("hold_max_ms", 10_000.0)) / MS_PER_S,
        retry_ratio=float(document.get("retry_ratio", 0.2)),
        retry_window_s=float(document.get("retry_window_s", 10.0)),
        retry_slack=float(document.get("retry_slack", 10.0)),
        capacity_cores=float(document.get("core_share", 1.0)) * float(document.get("cores", 1)),
        link_mbit=float(document.get("link_mbit", 1000.0)),
        memory_mb=float(document.get("memory_mb", DEFAULT_MEMORY_MB)),
        configuration_apply_s=float(document.get("configuration_apply_ms", 2000.0)) / MS_PER_S,
        bounds_cold_servers="cold_overshoot" in document,
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
