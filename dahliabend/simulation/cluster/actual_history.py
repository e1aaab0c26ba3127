"""What really happened in a run: which instances ran, which links worked, and when.

The scenario runner records each change as it makes it; the invariants query the record afterwards.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

Link = tuple[int, int]  # from one instance to another, one way
Span = tuple[int, int]  # begin and end, microseconds


class Moment(NamedTuple):
    """The state of the cluster from one time on."""

    at: int
    running: frozenset[int]
    stopped: frozenset[int]
    blocked_links: frozenset[Link]

    @property
    def awake(self) -> frozenset[int]:
        """Instances that run and are not stopped."""
        return self.running - self.stopped


@dataclass(slots=True)
class ActualHistory:
    """The history of one run. Times are microseconds of the runner's clock."""

    instance_count: int
    running_since: dict[int, int] = field(default_factory=dict)
    stopped: set[int] = field(default_factory=set)
    blocked_links: set[Link] = field(default_factory=set)
    history: list[Moment] = field(default_factory=list)
    start_times: dict[int, list[int]] = field(default_factory=dict)

    def start(self, now: int, instance: int) -> None:
        """Record that an instance started."""
        self.running_since[instance] = now
        self.start_times.setdefault(instance, []).append(now)
        self.stopped.discard(instance)
        self._record(now)

    def end(self, now: int, instance: int) -> None:
        """Record that an instance ended, however it did."""
        self.running_since.pop(instance, None)
        self.stopped.discard(instance)
        self._record(now)

    def stop(self, now: int, instance: int) -> None:
        """Record that an instance was stopped, as by SIGSTOP."""
        self.stopped.add(instance)
        self._record(now)

    def resume(self, now: int, instance: int) -> None:
        """Record that a stopped instance runs again."""
        self.stopped.discard(instance)
        self._record(now)

    def set_blocked_links(self, now: int, blocked: set[Link]) -> None:
        """Record which links lose every datagram from now on."""
        self.blocked_links = set(blocked)
        self._record(now)

    def last_change(self) -> int:
        """The time of the newest record, 0 if there is none."""
        return self.history[-1].at if self.history else 0

    def absences(self, of: int, to: int, until: int) -> list[Span]:
        """Spans in which one instance was absent for another.

        It is absent if it does not run, is stopped, or cannot be reached both ways, directly or through
        other awake instances. Adjoining spans are merged.
        """
        found: list[Span] = []
        for moment, end in self._moments_with_ends(until):
            awake = moment.awake
            blocked = moment.blocked_links
            if of in awake and (not blocked or of in _reachable(to, awake, blocked)):
                continue
            if found and found[-1][1] == moment.at:
                found[-1] = found[-1][0], end
            else:
                found.append((moment.at, end))
        return found

    def presence(self, instance: int, until: int) -> list[Span]:
        """Spans in which the instance's process existed."""
        return [
            (moment.at, end) for moment, end in self._moments_with_ends(until) if instance in moment.running
        ]

    def _moments_with_ends(self, until: int) -> list[tuple[Moment, int]]:
        ends = [moment.at for moment in self.history[1:]] + [until]
        return list(zip(self.history, ends, strict=True))

    def _record(self, now: int) -> None:
        if self.history and self.history[-1].at == now:
            self.history.pop()
        running = frozenset(self.running_since)
        self.history.append(Moment(now, running, frozenset(self.stopped), frozenset(self.blocked_links)))


def _reachable(start: int, awake: frozenset[int], blocked: frozenset[Link]) -> set[int]:
    """Instances reachable over links that work in both directions, through awake instances."""
    seen = {start}
    waiting = [start]
    while waiting:
        at = waiting.pop()
        for other in awake - seen:
            if (at, other) not in blocked and (other, at) not in blocked:
                seen.add(other)
                waiting.append(other)
    return seen
