"""A pool of endpoints at run time, with its own router and policy."""

from dataclasses import dataclass

from dahliabend.proxy.router import Router


@dataclass(slots=True)
class Pool:
    """A pool from an operator's file.

    Attributes:
        name: Name in the file.
        number: Number of the pool; never reused.
        router: The router that serves the pool's requests.
        retired: Whether the pool has been removed from the file and only finishes its open requests.
    """

    name: str
    number: int
    router: Router
    retired: bool = False

    @property
    def ready_fraction(self) -> float:
        """Fraction of the pool's endpoints that are ready and not ejected."""
        selection = self.router.balancer.selection
        return sum(not endpoint.is_ejected for endpoint in selection.ready) / max(1, len(selection.endpoints))
