"""Checks of the membership changes that instances reported against the actual history of the run.

No invariant depends on a random time: the bounds follow from the membership settings, and all observations
are ordered by one clock, that of the process that observes the run.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import log10

from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.actual_history import ActualHistory, Span

MAX_VIOLATIONS = 40  # texts kept for a run; further violations are only counted
MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_HOUR = 3.6e9
ABSENT_KINDS = frozenset({"died", "left"})
PRESENT_KINDS = frozenset({"joined", "returned"})


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A change of the membership view of an instance, as it reported it."""

    at: int  # microseconds
    observer: int  # the instance that reported it
    kind: str  # "joined", "returned", "suspected", "died", "left", "paused"
    subject: int  # number of the instance that changed; -1: none of this cluster
    reported_by: str = ""  # the member that reported the change to the observer


@dataclass(slots=True)
class Outcome:
    """The result of a run. The field names appear in JSON output."""

    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    # Microseconds from the beginning of each absence until the first observer, and until all observers, have
    # detected it.
    first: list[int] = field(default_factory=list)
    full: list[int] = field(default_factory=list)
    hours: float = 0.0  # run time, summed over the instances
    lines: list[str] = field(default_factory=list)  # the time line

    def report(self, rule: str, at: int, what: str) -> None:
        """Record a violation of a rule, seen at the time `at` in microseconds."""
        self.counts["violations"] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(f"{at / MICROSECONDS_PER_SECOND:.3f} s: {rule}: {what}")


class Bounds:
    """Time limits, in microseconds, that the settings imply for a cluster of a given size."""

    def __init__(self, config: SwimConfig, instance_count: int, absent_count: int = 0) -> None:
        """Compute the bounds; `absent_count` instances are absent at the same time."""
        scale = max(1.0, log10(instance_count + 1))
        self.min_suspicion = round(config.suspicion_multiplier * scale * config.period)
        self.max_suspicion = round(self.min_suspicion * config.max_suspicion_factor)
        # An instance with a high local health score waits longer for each probe of an absent member. The
        # probe order is shuffled in each round, so two probes of a member are up to two rounds apart.
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
    """Check all reported changes of a run that ended at `end`; violations and counts go to the outcome."""
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
    """The checks of one run, with the absences computed once for all of them."""

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

    def absences(self, subject: int, observer: int) -> list[Span]:
        """Return `ActualHistory.absences` up to the end of the run, cached for each pair."""
        if (subject, observer) not in self._absences:
            self._absences[subject, observer] = self.actual_history.absences(subject, observer, self.end)
        return self._absences[subject, observer]

    def check_deaths(self) -> None:
        """Check that each instance declared dead was absent for at least the minimum suspicion time."""
        # By instance: when it noticed a pause of its own. Without a stop in the script, the computer that
        # runs the test was overloaded, which is not a fault of the protocol.
        pauses: defaultdict[int, list[int]] = defaultdict(list)
        for change in self.changes:
            if change.kind == "paused":
                pauses[change.observer].append(change.at)
        tolerance = self.bounds.detection + self.bounds.max_suspicion
        for change in self.changes:
            if change.kind != "died" or change.subject < 0 or self._was_absent(change, tolerance):
                continue
            if any(abs(change.at - paused_at) <= tolerance for paused_at in pauses[change.subject]):
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
        """Check that an instance absent for longer than the bound left the view of every observer.

        Observers are the instances that were present during the absence, at most up to the bound.
        """
        views = self._view_changes()
        all_instances = range(self.actual_history.instance_count)
        for subject in all_instances:
            for begin, stop in self.absences(subject, subject):
                if begin == self.actual_history.history[0].at:
                    continue  # absent only because it had not been started
                absent = sum(_overlaps(self.absences(n, n), begin, stop) for n in all_instances)
                bound = Bounds(self.config, self.actual_history.instance_count, absent).detection
                delays = self._detection_delays(subject, begin, stop, bound, views)
                if delays and stop - begin >= bound:
                    self.outcome.first.append(min(delays))
                    self.outcome.full.append(max(delays))

    def _view_changes(self) -> dict[tuple[int, int], list[tuple[int, bool]]]:
        """Return, by observer and subject, when the subject entered (True) or left (False) the view."""
        views: dict[tuple[int, int], list[tuple[int, bool]]] = {}
        for change in self.changes:
            if change.kind in PRESENT_KINDS or change.kind in ABSENT_KINDS:
                changes = views.setdefault((change.observer, change.subject), [])
                changes.append((change.at, change.kind in PRESENT_KINDS))
        return views

    def _detection_delays(
        self,
        subject: int,
        begin: int,
        stop: int,
        bound: int,
        views: dict[tuple[int, int], list[tuple[int, bool]]],
    ) -> list[int]:
        """Return how long each observer took to notice one absence, and report late detections."""
        delays = []
        for observer in range(self.actual_history.instance_count):
            changes = self._changes_seen(observer, subject, begin, bound, views)
            was_absent = _overlaps(self.absences(observer, observer), begin, min(stop, begin + bound))
            if changes is None or was_absent:
                continue
            absent_at = (at for at, is_present in changes if not is_present and begin < at <= stop)
            delay = next((at - begin for at in absent_at), None)
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
        """Return the view changes of an observer since its start, None if it has no absence to notice.

        An observer has none to notice if it started within the bound after the absence began, or did not have
        the subject in its view when it began.
        """
        starts = self.actual_history.start_times.get(observer, [])
        if any(begin < at <= begin + bound for at in starts):
            return None
        running_since = max((at for at in starts if at <= begin), default=0)
        reported = views.get((observer, subject), [])
        changes = [(at, is_present) for at, is_present in reported if at >= running_since]
        was_present = [is_present for at, is_present in changes if at <= begin]
        return changes if was_present and was_present[-1] else None

    def _report_late_detection(
        self, observer: int, subject: int, begin: int, delay: int | None, bound: int
    ) -> None:
        delay_text = "never" if delay is None else f"after {delay / MICROSECONDS_PER_SECOND:.1f} s"
        bound_text = f"bound {bound / MICROSECONDS_PER_SECOND:.1f} s"
        self.outcome.report("seen late", begin, f"{observer} saw {subject} go {delay_text}, {bound_text}")


def _overlaps(spans: list[Span], begin: int, stop: int) -> bool:
    return any(start < stop and end > begin for start, end in spans)
