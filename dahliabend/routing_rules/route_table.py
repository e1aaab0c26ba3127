"""The table of routes: a look-up whose cost does not grow with their number.

A tree by path segments; at each node the routes that end there, by the shape of their further conditions.
A request walks its own segments and asks, from the deepest node up, once for each shape there.
"""

from collections.abc import Iterator, Mapping, Sequence

from dahliabend.config.operator_file.schema import RouteSettings

Condition = tuple[bool, tuple[str, ...]]  # does it name methods, and which headers


class _Node:
    __slots__ = ("children", "conditions")

    def __init__(self) -> None:
        self.children: dict[str, _Node] = {}
        # The most demanding shapes first; in each the routes by what they demand.
        self.conditions: dict[Condition, dict[tuple, int]] = {}


def path_segments(path: str) -> list[str]:
    """
    >>> path_segments("/a/b/"), path_segments("/")
    (['a', 'b'], [])
    """
    return [part for part in path.split("/") if part]


def specificity(shape: Condition) -> tuple[int, int]:
    return len(shape[1]), int(shape[0])


class RouteTable:
    """Routes by number. Longer paths go before shorter ones, then more headers, then a method, then the order
    of the file. Paths match by whole segments."""

    def __init__(self, routes: Sequence[RouteSettings]) -> None:
        self.routes = routes
        self.root = _Node()
        self.unreachable: list[tuple[int, int]] = []
        for number, route in enumerate(routes):
            self._add(number, route)
        self._order(self.root)

    def _add(self, number: int, route: RouteSettings) -> None:
        node = self.root
        for part in path_segments(route.path):
            node = node.children.setdefault(part, _Node())
        names = tuple(sorted(name.lower() for name in route.headers))
        values = tuple(value for _, value in sorted((k.lower(), v) for k, v in route.headers.items()))
        group = node.conditions.setdefault((bool(route.methods), names), {})
        methods = route.methods or [""]
        before = [group.get((method, values)) for method in methods]
        for method in methods:
            group.setdefault((method, values), number)
        if None not in before:
            self.unreachable.append((number, before[0]))

    def _order(self, root: _Node) -> None:
        waiting = [root]
        while waiting:
            node = waiting.pop()
            node.conditions = dict(
                sorted(node.conditions.items(), key=lambda item: specificity(item[0]), reverse=True)
            )
            waiting.extend(node.children.values())

    def find(self, method: str, path: str, headers: Mapping[str, str]) -> int | None:
        """The number of the route; header names are in lower case."""
        node, nodes = self.root, [self.root]
        for part in path_segments(path.partition("?")[0]):
            node = node.children.get(part)
            if node is None:
                break
            nodes.append(node)
        for node in reversed(nodes):
            for (named, names), group in node.conditions.items():
                values = tuple(headers.get(name, "") for name in names)
                found = group.get((method if named else "", values))
                if found is not None:
                    return found
        return None

    def shadowed(self) -> Iterator[tuple[int, int]]:
        """Routes that no request reaches, and the first that takes theirs before them."""
        yield from self.unreachable
