"""Client of the admin API of a running balancer."""

import json
from http.client import HTTPConnection, HTTPException
from typing import Any

import click

from dahliabend.config.address import parse_address
from dahliabend.routing_rules.loaded_file import load_file

REQUEST_TIMEOUT = 5.0  # seconds
STATUS_OK = 200
MAX_SECONDS_SHOWN = 100.0  # longer ages are shown in minutes

balancer_argument = click.argument("where", metavar="FILE|HOST:PORT")


def admin_address(where: str) -> tuple[str, int]:
    """Return the address of a balancer's admin API.

    Args:
        where: The address itself, or the path of the balancer's operator's file.

    Raises:
        click.ClickException: The text is not an address, and the file has faults or no listener for
            operators.
    """
    try:
        return parse_address(where)
    except ValueError:
        pass
    loaded = load_file(where)
    if not loaded.has_no_faults:
        raise click.ClickException("\n".join(map(str, loaded.faults)))
    listener = loaded.decoded_file.listeners.get("operators")
    if listener is None:
        raise click.ClickException(
            f"{where}:1: listeners.operators: is missing: there is no admin API to query"
        )
    return parse_address(listener.address)


def fetch(where: str, path: str) -> dict[str, Any]:
    """Make a GET call of the admin API of a running balancer.

    Args:
        where: The address of the admin API, or the path of the balancer's operator's file.
        path: The path of the call.

    Returns:
        The decoded JSON response.

    Raises:
        click.ClickException: There is no response, or it is an error.
    """
    host, port = admin_address(where)
    connection = HTTPConnection(host, port, timeout=REQUEST_TIMEOUT)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        content: dict[str, Any] = json.loads(response.read())
    except (OSError, HTTPException, ValueError) as error:
        raise click.ClickException(f"{host}:{port}: {error}") from None
    finally:
        connection.close()
    if response.status != STATUS_OK:
        raise click.ClickException(f"{host}:{port}: {content.get('error', response.status)}")
    return content


def format_age(milliseconds: int | None) -> str:
    """Format an age for people; None stands for the age of the balancer itself."""
    if milliseconds is None:
        return "its start"
    seconds = milliseconds / 1000
    if seconds < MAX_SECONDS_SHOWN:
        return f"{seconds:.1f} s"
    return f"{milliseconds / 60_000:.0f} min"
