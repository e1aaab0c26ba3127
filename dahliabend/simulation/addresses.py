"""Network addresses, simulated or real."""

Address = tuple[str, int]  # host and port


def format_address(address: Address) -> str:
    """Return an address as `host:port`."""
    host, port = address
    return f"{host}:{port}"
