"""What was so: who ran, which ways were whole, and when. The player tells it as it acts; checks ask it."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Truth:
    """Times are those of the player's clock, in microseconds."""

    count: int
    began: dict[int, int] = field(default_factory=dict)  # since when each runs, where it does
    stopped: set[int] = field(default_factory=set)
    cut: set[tuple[int, int]] = field(default_factory=set)  # ways, from one to another, that lose all
    moments: list[tuple[int, frozenset, frozenset, frozenset]] = field(default_factory=list)
    starts: dict[int, list[int]] = field(default_factory=dict)
    left: dict[int, list[int]] = field(default_factory=dict)

    def note(self, now: int) -> None:
        """After each change."""
        state = frozenset(self.began), frozenset(self.stopped), frozenset(self.cut)
        if self.moments and self.moments[-1][0] == now:
            self.moments.pop()
        self.moments.append((now, *state))

    def start(self, now: int, who: int) -> None:
        self.began[who] = now
        self.starts.setdefault(who, []).append(now)
        self.stopped.discard(who)
        self.note(now)

    def end(self, now: int, who: int) -> None:
        self.began.pop(who, None)
        self.stopped.discard(who)
        self.note(now)

    def stop(self, now: int, who: int) -> None:
        self.stopped.add(who)
        self.note(now)

    def go_on(self, now: int, who: int) -> None:
        self.stopped.discard(who)
        self.note(now)

    def ways(self, now: int, cut: set[tuple[int, int]]) -> None:
        self.cut = set(cut)
        self.note(now)

    def last_change(self) -> int:
        return self.moments[-1][0] if self.moments else 0

    def running(self) -> list[int]:
        return sorted(self.began)

    def absences(self, of: int, to: int, until: int) -> list[tuple[int, int]]:
        """When one was not there for another: it did not run, was stopped, or no way led there and back, also
        by way of those that ran. Adjoining spans are one."""
        found: list[tuple[int, int]] = []
        ends = [moment[0] for moment in self.moments[1:]] + [until]
        for (begin, running, stopped, cut), end in zip(self.moments, ends, strict=True):
            if of in running - stopped and (not cut or of in reached(to, running - stopped, cut)):
                continue
            if found and found[-1][1] == begin:
                found[-1] = found[-1][0], end
            else:
                found.append((begin, end))
        return found


def reached(start: int, awake: frozenset, cut: frozenset) -> set[int]:
    """Whom one reaches by ways that are whole in both directions, from awake one to awake one."""
    seen, waiting = {start}, [start]
    while waiting:
        at = waiting.pop()
        for other in awake - seen:
            if (at, other) not in cut and (other, at) not in cut:
                seen.add(other)
                waiting.append(other)
    return seen
