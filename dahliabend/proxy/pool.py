"""A pool of endpoints as it runs, with its own policy."""

from collections.abc import Callable
from dataclasses import dataclass

from dahliabend.proxy.router import Router


def _do_nothing() -> None:
    """Stop nothing."""


@dataclass(slots=True)
class Pool:
    """One pool of an operator's file.

    Attributes:
        name: Its name in the file.
        number: Its number among the pools; never used again.
        router: Serves its requests.
        stop: Stops whatever keeps its endpoint list.
        retired: Whether the file doesn't have it any more; it ends the requests that it has.
        subset_settings: The settings of its subset, None without one.
        subset_filter: What passes the subset of its endpoint list on to the router, None without one.
    """

    name: str
    number: int
    router: Router
    stop: Callable[[], None] = _do_nothing
    retired: bool = False
    subset_settings: object = None
    subset_filter: object = None

    @property
    def ready_fraction(self) -> float:
        """The fraction of its endpoints that requests can be sent to."""
        balancer = self.router.balancer
        return sum(not u.ejected for u in balancer.ready) / max(1, len(balancer.upstreams))
