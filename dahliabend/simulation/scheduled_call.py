"""A call that the scheduler of virtual time is to run."""

from collections.abc import Callable
from contextvars import Context
from typing import Any, Generic, TypeVar

MICROSECONDS_PER_SECOND = 1e6

Call = Callable[..., Any]
Owner = TypeVar("Owner")  # the process that the call belongs to


class ScheduledCall(Generic[Owner]):
    """A call that is to run; the handle that callers of the event loop cancel."""

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
        """Have it not run."""
        self.callback = None
        self.arguments = None

    def cancelled(self) -> bool:
        """Whether it will not run any more."""
        return self.callback is None

    def when(self) -> float:
        """Seconds of the loop's clock at which it is due."""
        return self.due / MICROSECONDS_PER_SECOND
