"""Settings of one process: its name, its addresses and those of other processes."""

from ipaddress import ip_address
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints

from indigoworks.common.address import Address

Port = Annotated[int, Field(ge=1, le=65535)]
LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


def _validate_ip(host: str) -> str:
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP address") from None
    return host


def parse_address(text: str) -> Address:
    """Return the address written as `ip:port` (an IPv6 address in brackets).

    :raises ValueError: the text is not such an address.
    """
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not an address of the form ip:port")
    return Address(_validate_ip(host), int(port))


def _validate_address(text: str) -> str:
    parse_address(text)
    return text


class ProcessSettings(BaseModel):
    """Addresses and zone of a process, from a file or flags.

    :ivar name: name of the process, unique among the processes of the system.
    :ivar zone: zone it runs in.
    :ivar host: IP address at which others reach it; it also listens there if listen_host is None.
    :ivar listen_host: IP address it listens on if that is another one, as behind network address
        translation; the ports are the same.
    :ivar control_port: TCP port of the internal protocol.
    :ivar http_port: TCP port of the HTTP interfaces.
    :ivar platform_url: base URL of the platform's services.
    :ivar controllers: `ip:port` of some controllers for the internal protocol; may be empty if the
        platform's machine list contains them.
    :ivar group_id: control group that the process belongs to.
    :ivar log_level: messages below this level are not written.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
    zone: Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
    host: Annotated[str, AfterValidator(_validate_ip)]
    listen_host: Annotated[str, AfterValidator(_validate_ip)] | None = None
    control_port: Port
    http_port: Port
    platform_url: Annotated[str, StringConstraints(pattern=r"^https?://[^\s/?#]+(/[^\s?#]*)?$")]
    controllers: list[Annotated[str, AfterValidator(_validate_address)]] = Field(
        default_factory=list
    )
    group_id: Annotated[int, Field(ge=0, le=2**32 - 1)] = 0
    log_level: LogLevel = "INFO"

    @property
    def control_address(self) -> Address:
        """Return the address at which the process listens for the internal protocol."""
        return Address(self.listen_host or self.host, self.control_port)

    @property
    def http_address(self) -> Address:
        """Return the address at which the process listens for HTTP."""
        return Address(self.listen_host or self.host, self.http_port)

    @property
    def controller_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of `controllers`."""
        return tuple(parse_address(each) for each in self.controllers)
