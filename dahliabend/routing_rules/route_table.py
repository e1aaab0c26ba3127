"""The table of routes: a look-up whose cost does not grow with their number.

A tree by path segments; at each node the routes that end there, by the kind of their further conditions. A
look-up walks the request's own segments and asks, from the deepest node up, once for each kind there.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from dahliabend.config.operator_file.schema import RouteSettings

HTTP_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
ANY_METHOD = ""


class Condition(NamedTuple):
    """What kind of conditions a route has beyond its path."""

    has_method: bool
    header_names: tuple[str, ...]  # lower case, sorted


class ShadowedRoute(NamedTuple):
    """A route that no request reaches, by number, and the first that takes its requests before it."""

    number: int
    winner: int


RouteNumbers = dict[tuple[str, tuple[str, ...]], int]  # by method and the values of the headers


class _Node:
    """A path, with the routes that end there and the paths below it."""

    __slots__ = ("children", "conditions")

    def __init__(self) -> None:
        self.children: dict[str, _Node] = {}
        self.conditions: dict[Condition, RouteNumbers] = {}  # the most specific first


def path_segments(path: str) -> list[str]:
    """Split a path; empty segments don't count.

    >>> path_segments("/a/b/"), path_segments("/")
    (['a', 'b'], [])
    """
    return [part for part in path.split("/") if part]


def specificity(condition: Condition) -> tuple[int, int]:
    """A sort key: more headers go before a method, and that before none."""
    return len(condition.header_names), int(condition.has_method)


class RouteTable:
    """Routes by number.

    Longer paths go before shorter ones, then more headers, then a method, then the order of the file. Paths
    match by whole segments.
    """

    def __init__(self, routes: Sequence[RouteSettings]) -> None:
        self.routes = routes
        self.root = _Node()
        self._shadowed: list[ShadowedRoute] = []
        for number, route in enumerate(routes):
            self._add(number, route)
        self._sort_conditions()

    def _add(self, number: int, route: RouteSettings) -> None:
        node = self.root
        for segment in path_segments(route.path):
            node = node.children.setdefault(segment, _Node())
        headers = sorted((name.lower(), value) for name, value in route.headers.items())
        names = tuple(name for name, _ in headers)
        values = tuple(value for _, value in headers)
        numbers = node.conditions.setdefault(Condition(bool(route.methods), names), {})
        methods = route.methods or [ANY_METHOD]
        earlier = [numbers.get((method, values)) for method in methods]
        for method in methods:
            numbers.setdefault((method, values), number)
        first = earlier[0]
        if first is not None and None not in earlier:
            self._shadowed.append(ShadowedRoute(number, first))

    def _sort_conditions(self) -> None:
        waiting = [self.root]
        while waiting:
            node = waiting.pop()
            ordered = sorted(node.conditions, key=specificity, reverse=True)
            node.conditions = {condition: node.conditions[condition] for condition in ordered}
            waiting.extend(node.children.values())

    def find(self, method: str, path: str, headers: Mapping[str, str]) -> int | None:
        """The number of the route that takes a request.

        Args:
            method: As it is sent.
            path: With or without a query.
            headers: By names in lower case.

        Returns:
            None where no route takes it.
        """
        node = self.root
        nodes = [node]
        for segment in path_segments(path.partition("?")[0]):
            child = node.children.get(segment)
            if child is None:
                break
            node = child
            nodes.append(node)
        for node in reversed(nodes):
            for (has_method, names), numbers in node.conditions.items():
                values = tuple(headers.get(name, "") for name in names)
                number = numbers.get((method if has_method else ANY_METHOD, values))
                if number is not None:
                    return number
        return None

    def shadowed(self) -> Iterator[ShadowedRoute]:
        """Routes that no request reaches."""
        yield from self._shadowed
