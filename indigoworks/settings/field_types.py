"""Types of fields that several settings models share."""

from typing import Annotated, Literal

from pydantic import Field, StringConstraints

MAX_WEIGHT = 1_000_000.0
MAX_TIMEOUT_S = 3600.0
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Largest body in bytes; a forwarded request must fit into one frame of the internal protocol."""
MAX_QUEUE_LENGTH = 1_000_000
MAX_CONCURRENCY = 1_000_000
MAX_RETRY_LIMIT = 10
MAX_KEY_LENGTH = 1024

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]
"""Name of a service or group; restricted because it is sent in paths and headers."""

KeyText = Annotated[str, StringConstraints(min_length=1, max_length=MAX_KEY_LENGTH)]
"""A key as text; the key itself is its UTF-8 encoding."""

PathPrefix = Annotated[str, StringConstraints(pattern=r"^/[^\s?#]*$", max_length=256)]
"""Prefix of the part of a path that follows the key."""

HttpMethod = Literal["GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"]
Hop = Literal["dispatcher", "direct"]
Preference = Literal["availability", "stability"]

Weight = Annotated[float, Field(gt=0, le=MAX_WEIGHT, allow_inf_nan=False)]
TimeoutS = Annotated[float, Field(gt=0, le=MAX_TIMEOUT_S, allow_inf_nan=False)]
Ratio = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
BodyBytes = Annotated[int, Field(ge=0, le=MAX_BODY_BYTES)]
QueueLength = Annotated[int, Field(ge=0, le=MAX_QUEUE_LENGTH)]
Concurrency = Annotated[int, Field(ge=0, le=MAX_CONCURRENCY)]
RetryLimit = Annotated[int, Field(ge=0, le=MAX_RETRY_LIMIT)]
Methods = Annotated[tuple[HttpMethod, ...], Field(strict=False, max_length=16)]
PathPrefixes = Annotated[tuple[PathPrefix, ...], Field(strict=False, max_length=256)]
