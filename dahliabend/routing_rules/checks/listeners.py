"""Checks of `[listeners]`."""

from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Source
from dahliabend.routing_rules.checks.common import check_address


def check_listeners(file: OperatorFile, source: Source) -> None:
    """Addresses that are well formed, each used once."""
    names: dict[str, str] = {}
    for name, listener in file.listeners.items():
        key = ("listeners", name, "address")
        check_address(listener.address, key, source)
        if listener.address in names:
            source.add_fault(key, f"{listener.address} is {names[listener.address]!r}'s already")
        names[listener.address] = name
