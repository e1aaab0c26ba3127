"""Actual history of a run: which instances ran and which links worked at each time.

The run of the script records each change when it makes it; the invariants query the history afterwards.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

Link = tuple[int, int]  # (sender, receiver): one direction
Span = tuple[int, int]  # (begin, end) in microseconds


class Moment(NamedTuple):
    """The state of the cluster from the time `at` until the next moment."""

    at: int
    running: frozenset[int]  # instances with a process, including stopped ones
    stopped: frozenset[int]
    blocked_links: frozenset[Link]

    @property
    def awake(self) -> frozenset[int]:
        """The running instances that are not stopped."""
        return self.running - self.stopped


@dataclass(slots=True)
class ActualHistory:
    """The history of one run. Times are in microseconds of the run's clock."""

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
        """Record that an instance ended, by itself or by a signal."""
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
        """Return the time of the newest moment, 0 if there is none."""
        return self.history[-1].at if self.history else 0

    def absences(self, subject: int, observer: int, until: int) -> list[Span]:
        """Return the spans in which the subject was absent for the observer.

        It is absent if it does not run, is stopped, or cannot be reached over links that work in both
        directions, directly or through other awake instances. Adjacent spans are merged.
        """
        spans: list[Span] = []
        for moment, end in self._moments_with_ends(until):
            awake = moment.awake
            blocked = moment.blocked_links
            if subject in awake and (not blocked or subject in _reachable(observer, awake, blocked)):
                continue
            if spans and spans[-1][1] == moment.at:
                spans[-1] = spans[-1][0], end
            else:
                spans.append((moment.at, end))
        return spans

    def presence(self, instance: int, until: int) -> list[Span]:
        """Return the spans in which the instance's process existed."""
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
    """Return the instances reachable over links that work in both directions, through awake instances."""
    reachable = {start}
    to_visit = [start]
    while to_visit:
        instance = to_visit.pop()
        for neighbor in awake - reachable:
            if (instance, neighbor) not in blocked and (neighbor, instance) not in blocked:
                reachable.add(neighbor)
                to_visit.append(neighbor)
    return reachable
