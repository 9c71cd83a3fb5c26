"""Errors for unknown names."""

from collections.abc import Iterable

from indigoworks.admin.errors import UnknownService


def unknown_service(service: str, known_services: Iterable[str]) -> UnknownService:
    """Return the error for a service that is not among those in force."""
    known = ", ".join(sorted(known_services)) or "none"
    return UnknownService(f"The settings name no service {service!r}.", f"Known services: {known}.")
