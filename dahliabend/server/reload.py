"""Reload of the configuration on SIGHUP: it is applied as a whole, or rejected and nothing changes."""

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
    """Read the configuration again and apply it, or count and log why it is rejected.

    Args:
        read: Returns the new configuration; raises ValueError if it is invalid.
        apply: Applies a configuration; returns the fields of the event `reload.applied`.
        describe_fault: Returns the fields of the event `reload.rejected` for an error of `read`.
        metrics: The counters of accepted and rejected configurations.
        log: The event log.
    """
    try:
        configuration = read()
    except ValueError as error:  # the base class of msgspec's errors, too
        metrics.configs_rejected += 1
        log("reload.rejected", **describe_fault(error))
        return
    metrics.configs_accepted += 1
    log("reload.applied", **apply(configuration))
