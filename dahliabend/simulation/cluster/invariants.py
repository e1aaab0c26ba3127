"""The membership changes that instances reported, checked against the ground actual_history.

No invariant depends on a time that chance decides: the bounds are those that the membership settings allow,
and observations are ordered by the clock of the observer of the run alone.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import log10

from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.actual_history import ActualHistory, Span

MAX_VIOLATIONS = 40  # kept of a run; the others are only counted
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_HOUR = 3.6e9
ABSENT_KINDS = frozenset({"died", "left"})
PRESENT_KINDS = frozenset({"joined", "returned"})


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A change of its view that an instance reported."""

    at: int  # microseconds
    observer: int  # the instance that reported it
    kind: str  # "joined", "returned", "suspected", "died", "left", "paused"
    subject: int  # -1: none of this cluster
    reported_by: str = ""


@dataclass(slots=True)
class Outcome:
    """The result of a run. The field names appear in JSON output."""

    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    first: list[int] = field(default_factory=list)  # microseconds from an end until the first observer knows
    full: list[int] = field(default_factory=list)  # and until all of them know
    hours: float = 0.0  # of instance run time
    lines: list[str] = field(default_factory=list)

    def report(self, rule: str, at: int, what: str) -> None:
        """Add a violation of a rule, seen at a time in microseconds."""
        self.counts["violations"] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{at / MICROSECONDS_PER_SECOND:.3f} s: {rule}: {what}")


class Bounds:
    """Time limits, in microseconds, that the settings imply for a cluster of a given size."""

    def __init__(self, config: SwimConfig, instance_count: int, absent_count: int = 0) -> None:
        """`absent_count`: instances that are absent at the same time."""
        scale = max(1.0, log10(instance_count + 1))
        self.min_suspicion = round(config.suspicion_multiplier * scale * config.period)
        self.max_suspicion = round(self.min_suspicion * config.max_suspicion_factor)
        # An instance with a bad local health score waits longer for each probe of an absent one. Which member
        # it probes next is random, within two rounds.
        slow_probes = (1 + config.max_health_score) * (1 + absent_count)
        probing = (2 * instance_count + slow_probes) * config.period
        self.detection = probing + self.max_suspicion + 2 * config.period
        self.agreement = self.detection + 3 * config.sync_interval * config.period


def check_membership_changes(
    actual_history: ActualHistory,
    changes: list[MembershipChange],
    config: SwimConfig,
    end: int,
    outcome: Outcome,
) -> None:
    """Check all reported changes of a run that ended at `end`, and add what is found to the outcome."""
    outcome.counts.update(change.kind for change in changes)
    checker = _ChangeChecker(actual_history, changes, config, end, outcome)
    checker.check_deaths()
    checker.check_detections()
    outcome.hours += sum(
        (stop - begin) / MICROSECONDS_PER_HOUR
        for instance in range(actual_history.instance_count)
        for begin, stop in actual_history.presence(instance, end)
    )


class _ChangeChecker:
    """The checks of one run, with the spans of absence that they share."""

    def __init__(
        self,
        actual_history: ActualHistory,
        changes: list[MembershipChange],
        config: SwimConfig,
        end: int,
        outcome: Outcome,
    ) -> None:
        self.actual_history = actual_history
        self.changes = changes
        self.config = config
        self.end = end
        self.outcome = outcome
        self.bounds = Bounds(config, actual_history.instance_count)
        self._absences: dict[tuple[int, int], list[Span]] = {}

    def absences(self, of: int, to: int) -> list[Span]:
        """As `ActualHistory.absences`, computed once a pair."""
        if (of, to) not in self._absences:
            self._absences[of, to] = self.actual_history.absences(of, to, self.end)
        return self._absences[of, to]

    def check_deaths(self) -> None:
        """No instance is declared dead that was not absent for the shortest suspicion."""
        # Instances that noticed a pause of their own, though nobody stopped them: the test machine was busy.
        pauses: defaultdict[int, list[int]] = defaultdict(list)
        for change in self.changes:
            if change.kind == "paused":
                pauses[change.observer].append(change.at)
        tolerance = self.bounds.detection + self.bounds.max_suspicion
        for change in self.changes:
            if change.kind != "died" or change.subject < 0 or self._was_absent(change, tolerance):
                continue
            if any(abs(change.at - at) <= tolerance for at in pauses[change.subject]):
                self.outcome.counts["starved"] += 1
            else:
                text = f"{change.observer} buried {change.subject}, which it could reach"
                self.outcome.report("false death", change.at, text)

    def _was_absent(self, change: MembershipChange, tolerance: int) -> bool:
        shortest = self.bounds.min_suspicion
        return any(
            stop - begin >= shortest and begin + shortest <= change.at <= stop + tolerance
            for begin, stop in self.absences(change.subject, change.observer)
        )

    def check_detections(self) -> None:
        """An instance absent for longer than the bound is out of the view of all that ran all the time."""
        views = self._view_changes()
        everyone = range(self.actual_history.instance_count)
        for subject in everyone:
            for begin, stop in self.absences(subject, subject):
                if begin == self.actual_history.history[0].at:
                    continue  # not started yet
                absent = sum(_overlaps(self.absences(each, each), begin, stop) for each in everyone)
                bound = Bounds(self.config, self.actual_history.instance_count, absent).detection
                delays = self._detection_delays(subject, begin, stop, bound, views)
                if delays and stop - begin >= bound:
                    self.outcome.first.append(min(delays))
                    self.outcome.full.append(max(delays))

    def _view_changes(self) -> dict[tuple[int, int], list[tuple[int, bool]]]:
        """By observer and subject: when the subject entered (True) or left its view."""
        views: dict[tuple[int, int], list[tuple[int, bool]]] = {}
        for change in self.changes:
            if change.kind in PRESENT_KINDS or change.kind in ABSENT_KINDS:
                seen = views.setdefault((change.observer, change.subject), [])
                seen.append((change.at, change.kind in PRESENT_KINDS))
        return views

    def _detection_delays(
        self,
        subject: int,
        begin: int,
        stop: int,
        bound: int,
        views: dict[tuple[int, int], list[tuple[int, bool]]],
    ) -> list[int]:
        """How long each observer took to notice one absence; late ones are violations."""
        delays = []
        for observer in range(self.actual_history.instance_count):
            changes = self._changes_seen(observer, subject, begin, bound, views)
            was_absent = _overlaps(self.absences(observer, observer), begin, min(stop, begin + bound))
            if changes is None or was_absent:
                continue
            delay = next((at - begin for at, there in changes if not there and begin < at <= stop), None)
            if delay is not None:
                delays.append(delay)
            if stop - begin >= bound and (delay is None or delay > bound):
                self._report_late_detection(observer, subject, begin, delay, bound)
        return delays

    def _changes_seen(
        self,
        observer: int,
        subject: int,
        begin: int,
        bound: int,
        views: dict[tuple[int, int], list[tuple[int, bool]]],
    ) -> list[tuple[int, bool]] | None:
        """The view changes of an observer since its start, None if it has nothing to notice.

        That is if it started after the absence began, or did not have the subject in its view.
        """
        starts = self.actual_history.start_times.get(observer, [])
        if any(begin < at <= begin + bound for at in starts):
            return None
        running_since = max((at for at in starts if at <= begin), default=0)
        changes = [(at, there) for at, there in views.get((observer, subject), []) if at >= running_since]
        before = [there for at, there in changes if at <= begin]
        return changes if before and before[-1] else None

    def _report_late_detection(
        self, observer: int, subject: int, begin: int, delay: int | None, bound: int
    ) -> None:
        took = "never" if delay is None else f"after {delay / MICROSECONDS_PER_SECOND:.1f} s"
        limit = f"bound {bound / MICROSECONDS_PER_SECOND:.1f} s"
        self.outcome.report("seen late", begin, f"{observer} saw {subject} go {took}, {limit}")


def _overlaps(spans: list[Span], begin: int, stop: int) -> bool:
    return any(first < stop and last > begin for first, last in spans)
