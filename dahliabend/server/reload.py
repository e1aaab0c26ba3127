"""Reload of the configuration on SIGHUP: applied as a whole, or refused with nothing changed."""

from collections.abc import Callable, Mapping
from typing import TypeVar

from dahliabend.server.log import EventLog
from dahliabend.server.metrics import Metrics

Configuration = TypeVar("Configuration")


def reload_configuration(
    read: Callable[[], Configuration],
    apply: Callable[[Configuration], Mapping[str, object]],
    describe_fault: Callable[[ValueError], Mapping[str, object]],
    *,
    metrics: Metrics,
    log: EventLog,
) -> None:
    """Read the configuration again and apply it, or count and log why it is refused.

    Args:
        read: Returns the new configuration; raises ValueError if it can't be used.
        apply: Applies it; returns the fields of the line that is logged.
        describe_fault: Returns the fields of the line that is logged if it is refused.
        metrics: Counts reloads.
        log: Where the result is logged.
    """
    try:
        configuration = read()
    except ValueError as error:  # msgspec's errors are a kind of it
        metrics.configs_rejected += 1
        log("reload.rejected", **describe_fault(error))
        return
    metrics.configs_accepted += 1
    log("reload.applied", **apply(configuration))
