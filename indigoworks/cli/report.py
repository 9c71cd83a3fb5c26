"""Output of commands."""

import json
from typing import Any

from pydantic import BaseModel


def json_report(content: BaseModel | dict[str, Any]) -> str:
    """Return indented JSON, readable by people and programs."""
    plain = content.model_dump(mode="json") if isinstance(content, BaseModel) else content
    return json.dumps(plain, indent=2, ensure_ascii=False)
