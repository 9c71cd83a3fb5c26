"""Looks up the field names that a settings model allows at a location."""

from typing import Any, get_args, get_origin

from pydantic import BaseModel


def field_names_at(model: type[BaseModel], location: tuple[int | str, ...]) -> list[str]:
    """Return the field names of the model at `location` below `model`."""
    schema: Any = model
    for step in location:
        schema = _child_of(schema, step)
    return list(schema.model_fields) if _is_model(schema) else []


def _child_of(schema: Any, step: int | str) -> Any:
    if _is_model(schema):
        field = schema.model_fields.get(str(step))
        return None if field is None else _model_of(field.annotation)
    if get_origin(schema) is dict:
        return _model_of(get_args(schema)[1])
    return None


def _model_of(annotation: Any) -> Any:
    """Return the model or mapping in `annotation`, without `| None`."""
    if _is_model(annotation) or get_origin(annotation) is dict:
        return annotation
    inner = [each for each in get_args(annotation) if _is_model(each)]
    return inner[0] if inner else None


def _is_model(schema: Any) -> bool:
    return isinstance(schema, type) and issubclass(schema, BaseModel)
