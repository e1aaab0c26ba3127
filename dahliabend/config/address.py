"""Parsing of the addresses in configuration files and endpoint lists."""

from ipaddress import IPv4Address

from dahliabend.errors import FormatError

MAX_PORT = 65_535


def parse_address(text: str) -> tuple[str, int]:
    """Parse an IPv4 address and a port; host names are not supported.

    >>> parse_address("10.0.0.4:8080")
    ('10.0.0.4', 8080)

    Raises:
        FormatError: The text is not an IPv4 address and a port above 0.
    """
    host, _, port_text = text.rpartition(":")
    try:
        IPv4Address(host)
        port = int(port_text) if port_text.isascii() and port_text.isdigit() else 0
    except ValueError:
        port = 0
    if not 0 < port <= MAX_PORT:
        raise FormatError(f"{text!r} is not an IPv4 address and port")
    return host, port
