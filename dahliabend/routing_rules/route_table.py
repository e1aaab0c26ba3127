"""Route table: finds the route of a request at a cost that does not grow with the number of routes.

The table is a tree by path segments. Each node holds the routes whose path ends there, grouped by the kind of
their further conditions. A lookup walks down the segments of the request's path and then, from the deepest
node up, makes one dictionary lookup for each kind of conditions there.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from dahliabend.config.operator_file.schema import RouteSettings

HTTP_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
ANY_METHOD = ""


class ConditionKind(NamedTuple):
    """The kind of conditions that a route has besides its path: whether a method, and which headers."""

    has_method: bool
    header_names: tuple[str, ...]  # lower case, sorted


class ShadowedRoute(NamedTuple):
    """A route that no request reaches, and the route that matches its requests first, by number."""

    number: int
    shadowed_by: int


RouteNumbers = dict[tuple[str, tuple[str, ...]], int]  # by method and header values


class _Node:
    """A path in the tree, with the routes that end there and the paths below it."""

    __slots__ = ("children", "conditions")

    def __init__(self) -> None:
        self.children: dict[str, _Node] = {}
        self.conditions: dict[ConditionKind, RouteNumbers] = {}  # most specific kind first


def path_segments(path: str) -> list[str]:
    """Split a path into segments, without empty ones.

    >>> path_segments("/a/b/"), path_segments("/")
    (['a', 'b'], [])
    """
    return [segment for segment in path.split("/") if segment]


def specificity(condition_kind: ConditionKind) -> tuple[int, int]:
    """Return the sort key of a kind of conditions: the number of headers, then whether there is a method."""
    return len(condition_kind.header_names), int(condition_kind.has_method)


class RouteTable:
    """Finds the route of a request. Routes are identified by their number in the file.

    Longer paths take precedence over shorter ones, then more headers over fewer, then a method over none,
    then the order in the file. Paths match by complete segments.
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
        numbers = node.conditions.setdefault(ConditionKind(bool(route.methods), names), {})
        methods = route.methods or [ANY_METHOD]
        earlier_routes = [numbers.get((method, values)) for method in methods]
        for method in methods:
            numbers.setdefault((method, values), number)
        first = earlier_routes[0]
        if first is not None and None not in earlier_routes:
            self._shadowed.append(ShadowedRoute(number, first))

    def _sort_conditions(self) -> None:
        pending_nodes = [self.root]
        while pending_nodes:
            node = pending_nodes.pop()
            sorted_kinds = sorted(node.conditions, key=specificity, reverse=True)
            node.conditions = {kind: node.conditions[kind] for kind in sorted_kinds}
            pending_nodes.extend(node.children.values())

    def find(self, method: str, path: str, headers: Mapping[str, str]) -> int | None:
        """Find the route of a request.

        Args:
            method: HTTP method, as sent.
            path: Path of the request, with or without a query.
            headers: Headers by lower-case name.

        Returns:
            The number of the route, or None if no route matches.
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
        """Yield the routes that no request reaches."""
        yield from self._shadowed
