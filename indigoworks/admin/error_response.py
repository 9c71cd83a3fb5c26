"""Responses that report an error."""

import json
from dataclasses import fields
from typing import Any

from indigoworks.admin.admin_response import AdminResponse
from indigoworks.admin.errors import AdminError, InvalidSettings, SettingsConflict

_BASE_FIELDS = frozenset({"message", "remedy", "retry_after_s"})


def error_response(error: AdminError) -> AdminResponse:
    """Return kind, message, remedy, retry_after_s and the kind's own fields as JSON."""
    content: dict[str, Any] = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "retry_after_s": error.retry_after_s,
    }
    content.update(_own_fields(error))
    body = json.dumps(content, ensure_ascii=False).encode("utf-8")
    return AdminResponse(error.http_status, body, error.retry_after_s)


def _own_fields(error: AdminError) -> dict[str, Any]:
    own = {each.name: getattr(error, each.name) for each in fields(error)}
    if isinstance(error, SettingsConflict):
        own["difference"] = [vars(each) for each in error.difference]
    if isinstance(error, InvalidSettings):
        own["problems"] = [vars(each) for each in error.problems]
    return {name: value for name, value in own.items() if name not in _BASE_FIELDS}
