"""Addresses of the simulated and the loopback network."""

Address = tuple[str, int]  # host and port


def format_address(address: Address) -> str:
    """An address as `host:port`."""
    host, port = address
    return f"{host}:{port}"
