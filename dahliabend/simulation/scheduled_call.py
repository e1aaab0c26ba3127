"""A call that the virtual-time scheduler runs when it is due."""

from collections.abc import Callable
from contextvars import Context
from typing import Any, Generic, TypeVar

MICROSECONDS_PER_SECOND = 1e6

Call = Callable[..., Any]
Owner = TypeVar("Owner")  # the type of the process that the call belongs to


class ScheduledCall(Generic[Owner]):
    """A scheduled call, and the handle with which it can be cancelled."""

    __slots__ = ("arguments", "callback", "context", "due", "is_timer", "owner")

    def __init__(
        self,
        owner: Owner | None,
        due: int,
        callback: Call,
        arguments: tuple[Any, ...],
        context: Context | None,
    ) -> None:
        self.owner = owner
        self.due = due
        self.callback: Call | None = callback
        self.arguments: tuple[Any, ...] | None = arguments
        self.context = context
        self.is_timer = False

    def cancel(self) -> None:
        """Cancel the call and drop the references to its callback and arguments."""
        self.callback = None
        self.arguments = None

    def cancelled(self) -> bool:
        """Return whether the call was cancelled or has run."""
        return self.callback is None

    def when(self) -> float:
        """Return the time at which the call is due, in seconds of the loop's clock."""
        return self.due / MICROSECONDS_PER_SECOND
