"""Explains to operators which route a request takes and why, and which attempts are made for how long."""

from collections.abc import Mapping
from dataclasses import dataclass

from dahliabend.config.operator_file.schema import Idempotency, OperatorFile, RouteSettings
from dahliabend.config.operator_file.source import format_key
from dahliabend.config.operator_file.units import Duration
from dahliabend.routing_rules.loaded_file import LoadedFile, format_place, format_value
from dahliabend.routing_rules.route_table import RouteTable
from dahliabend.routing_rules.treatment import (
    TREATMENT_FIELDS,
    EffectiveTreatment,
    key_of_field,
    pool_weights,
)

NO_ROUTE_REASON = "no route takes it: it is answered 404"


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """A value in force for a route's requests, and the key that sets it."""

    value: object
    key: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The route that a request takes. The field names are part of the printed output.

    Attributes:
        route: Name of the route.
        place: File and line that define the route.
        reason: The conditions of the route that the request meets.
        request_class: Name of the request class.
        effect: Idempotency of the request class, in the notation of the file.
        pools: For each pool by name, its share of the requests as a percentage.
        split: How requests are split among the pools.
        fallback: The route's fallback pool or, without one, the fallback of each of its pools that has one.
        mirror: Fraction of requests that are mirrored, and the mirror pool; None for no mirroring.
        treatment: The values in force for the route's requests, by key.
        steps: The attempts that will be made, in order and in words.
    """

    route: str
    place: str
    reason: str
    request_class: str
    effect: Idempotency
    pools: dict[str, str]
    split: str
    fallback: str | dict[str, str]
    mirror: str | None
    treatment: dict[str, ExplainedValue]
    steps: list[str]


def explain(loaded: LoadedFile, method: str, path: str, headers: Mapping[str, str]) -> Explanation | None:
    """Explain how a request would be routed and which attempts would be made.

    Args:
        loaded: A file without faults.
        method: HTTP method, in capitals.
        path: Path of the request, with or without a query.
        headers: Headers by name, in any case.

    Returns:
        The explanation, or None if no route matches the request.
    """
    file = loaded.decoded_file
    lower_case_headers = {name.lower(): value for name, value in headers.items()}
    number = RouteTable(file.routes).find(method, path, lower_case_headers)
    if number is None:
        return None
    route = file.routes[number]
    effect = file.classes[route.class_].effect
    treatment = EffectiveTreatment(file, route, number)
    weights = pool_weights(route)
    total = sum(weights.values()) or 1
    return Explanation(
        route=route.name,
        place=format_place(loaded.source.place(("routes", number))),
        reason="; ".join(_reasons(route)),
        request_class=route.class_,
        effect=effect,
        pools={name: f"{100 * (weight / total):g}%" for name, weight in weights.items()},
        split=_describe_split(route),
        fallback=route.fallback or _pool_fallbacks(file, weights),
        mirror=f"{route.mirror_share} to {route.mirror}" if route.mirror else None,
        treatment=_explain_treatment(treatment),
        steps=_steps(treatment, effect),
    )


def _reasons(route: RouteSettings) -> list[str]:
    reasons = [f"its path begins with {route.path}"]
    if route.methods:
        reasons.append(f"its method is one of {', '.join(route.methods)}")
    reasons += [f"{name} is {value!r}" for name, value in route.headers.items()]
    return reasons


def _describe_split(route: RouteSettings) -> str:
    if route.split_by:
        return f"by {route.split_by}"
    return "by turns" if len(pool_weights(route)) > 1 else "none"


def _pool_fallbacks(file: OperatorFile, pools: Mapping[str, float]) -> dict[str, str]:
    fallbacks = {name: file.pools[name].fallback for name in pools}
    return {name: fallback for name, fallback in fallbacks.items() if fallback}


def _explain_treatment(treatment: EffectiveTreatment) -> dict[str, ExplainedValue]:
    explained = {}
    for name in TREATMENT_FIELDS:
        value = treatment.value(name)
        if value is not None:
            key = format_key(treatment.keys[name])
            explained[key_of_field(name)] = ExplainedValue(format_value(value), key)
    return explained


def _steps(treatment: EffectiveTreatment, effect: Idempotency) -> list[str]:
    """Describe the attempts that will be made, in order."""
    attempt_time = treatment.attempt_timeout or treatment.total_time
    steps = [f"one hop of up to {Duration(attempt_time)}"]
    if treatment.second_copy_after is not None:
        steps.append(f"a second beside it after {treatment.second_copy_after}, the first answer counts")
    if treatment.attempts > 1:
        steps.append(f"after one that never ran: another, {treatment.attempts} hops at the most")
    if treatment.replays:
        steps.append(f"after one that may have run: another, {treatment.replays} times at the most")
    elif treatment.attempts > 1:
        steps.append(f"after one that may have run: none, as it is {effect}")
    steps.append(f"after {treatment.total_time} it is over: rolled back if harmless, else abandoned")
    return steps
