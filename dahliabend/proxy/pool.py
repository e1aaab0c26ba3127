"""A pool of endpoints as it runs, with its own policy."""

from dataclasses import dataclass

from dahliabend.proxy.router import Router


@dataclass(slots=True)
class Pool:
    """One pool of an operator's file.

    Attributes:
        name: Its name in the file.
        number: Its number among the pools; never used again.
        router: Serves its requests.
        retired: Whether the file doesn't have it any more; it ends the requests that it has.
    """

    name: str
    number: int
    router: Router
    retired: bool = False

    @property
    def ready_fraction(self) -> float:
        """The fraction of its endpoints that requests can be sent to."""
        selection = self.router.balancer.selection
        return sum(not known.is_ejected for known in selection.ready) / max(1, len(selection.endpoints))
