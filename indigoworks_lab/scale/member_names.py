"""Names, zones and addresses of hollow members."""

from indigoworks.common.address import Address

ZONES = ("zone-a", "zone-b", "zone-c")
FIRST_LOOPBACK_NETWORK = 64
HOSTS_PER_NETWORK = 250


def zone_name(index: int) -> str:
    """Return the zone of a member; members are spread evenly."""
    return ZONES[index % len(ZONES)]


def router_name(index: int) -> str:
    """Return the name of a hollow router."""
    return f"router-{index:05d}"


def server_name(index: int) -> str:
    """Return the name of a hollow back end."""
    return f"server-{index:05d}"


def server_address(index: int, port: int) -> Address:
    """Return the address of a hollow back end: a loopback IP number of its own."""
    network, host = divmod(index, HOSTS_PER_NETWORK)
    return Address(f"127.{FIRST_LOOPBACK_NETWORK}.{network}.{host + 1}", port)
