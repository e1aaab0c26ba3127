"""Checks of `[defaults]` and `[classes]`."""

from dahliabend.config.operator_file.schema import ClassSettings, OperatorFile
from dahliabend.config.operator_file.source import Key, Source
from dahliabend.routing_rules.checks.common import check_positive, check_treatment_values


def check_classes(file: OperatorFile, source: Source) -> None:
    """The defaults and every class of requests."""
    check_treatment_values(file.defaults, ("defaults",), source)
    for name, request_class in file.classes.items():
        _check_class(request_class, ("classes", name), source)


def _check_class(request_class: ClassSettings, key: Key, source: Source) -> None:
    check_treatment_values(request_class, key, source)
    check_positive(request_class, ("service_goal", "hard_limit"), key, source)
    goal = request_class.service_goal
    if goal > request_class.hard_limit:
        reason = f"{goal} is over the hard limit, {request_class.hard_limit}"
        source.add_fault((*key, "service-goal"), reason)
    effect = request_class.effect
    if effect == "journalled" and request_class.repeat_window <= 0:
        source.add_fault(key, "repeat-window is missing: how long is a journalled transaction remembered?")
    if effect != "journalled" and request_class.repeat_window:
        source.add_fault((*key, "repeat-window"), f"only journalled classes have one, this is {effect}")
    if request_class.revenue < 0:
        source.add_fault((*key, "revenue"), f"{request_class.revenue:g} is below 0")
