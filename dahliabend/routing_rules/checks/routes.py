"""Checks of `[[routes]]`: what each names, and whether a request can reach it."""

from dahliabend.config.operator_file.decoder import suggest_spelling
from dahliabend.config.operator_file.schema import OperatorFile, RouteSettings
from dahliabend.config.operator_file.source import Key, Source
from dahliabend.routing_rules.checks.common import check_treatment_values, is_known
from dahliabend.routing_rules.checks.treatments import check_treatment
from dahliabend.routing_rules.route_table import HTTP_METHODS, RouteTable
from dahliabend.routing_rules.treatment import target_pools


def check_routes(file: OperatorFile, source: Source) -> None:
    """Every route, and all together."""
    if not file.routes:  # an empty file, or one cut short, would reject every request
        source.add_fault(("routes",), "there are none")
    _check_names(file, source)
    for number, route in enumerate(file.routes):
        key = ("routes", number)
        check_treatment_values(route, key, source)
        _check_conditions(route, key, source)
        _check_split(file, route, key, source)
        _check_fallback(file, route, key, source)
        _check_mirror(file, route, key, source)
        if is_known(route.class_, file.classes, "class", (*key, "class"), source):
            check_treatment(file, number, source)
    for number, other in RouteTable(file.routes).shadowed():
        reason = f"is never reached: {file.routes[other].name!r} takes the same requests before it"
        source.add_fault(("routes", number, "path"), reason)


def _check_names(file: OperatorFile, source: Source) -> None:
    numbers: dict[str, int] = {}
    for number, route in enumerate(file.routes):
        if route.name in numbers:
            reason = f"{route.name!r} is the name of routes[{numbers[route.name]}] already"
            source.add_fault(("routes", number, "name"), reason)
        numbers.setdefault(route.name, number)


def _check_conditions(route: RouteSettings, key: Key, source: Source) -> None:
    if not route.path.startswith("/") or "?" in route.path or "//" in route.path:
        source.add_fault((*key, "path"), f"{route.path!r} is no path: it begins with / and has no query")
    for number, method in enumerate(route.methods):
        if method not in HTTP_METHODS:
            hint = suggest_spelling(method.upper(), HTTP_METHODS)
            source.add_fault((*key, "methods", number), f"{method!r} is no method{hint}")


def _check_split(file: OperatorFile, route: RouteSettings, key: Key, source: Source) -> None:
    if (route.pool is None) == (route.pools is None):
        source.add_fault(key, "needs either pool or pools")
    if route.pool is not None:
        is_known(route.pool, file.pools, "pool", (*key, "pool"), source)
    for name, weight in (route.pools or {}).items():
        is_known(name, file.pools, "pool", (*key, "pools", name), source)
        if weight < 0:
            source.add_fault((*key, "pools", name), f"{weight:g} is below 0")
    if route.pools is not None and sum(route.pools.values()) <= 0:
        source.add_fault((*key, "pools"), "the weights sum to nothing")
    if route.split_by is not None and route.pools is None:
        source.add_fault((*key, "split-by"), "there is nothing to split: pools is missing")


def _check_fallback(file: OperatorFile, route: RouteSettings, route_key: Key, source: Source) -> None:
    key = (*route_key, "fallback")
    fallback = route.fallback
    if fallback is None or not is_known(fallback, file.pools, "pool", key, source):
        return
    next_fallback = file.pools[fallback].fallback
    targets = set(target_pools(route))
    if fallback in targets:
        source.add_fault(key, f"{fallback!r} is what the route goes to anyway")
    elif next_fallback in targets:
        source.add_fault(key, f"goes round: {fallback!r} falls back to {next_fallback!r}")


def _check_mirror(file: OperatorFile, route: RouteSettings, route_key: Key, source: Source) -> None:
    key = (*route_key, "mirror")
    mirror = route.mirror
    if mirror is None or not is_known(mirror, file.pools, "pool", key, source):
        return
    request_class = file.classes.get(route.class_)
    if request_class is not None and request_class.effect != "idempotent":
        reason = f"{route.class_!r} is {request_class.effect}: a copy would have an effect"
        source.add_fault(key, reason)
    if mirror in target_pools(route):
        source.add_fault(key, f"{mirror!r} answers this route: it would get each one twice")
