"""What each instance claimed, held against what was so. No rule asks for a time that luck decides: spans are
those that the terms of membership allow, and what was observed is ordered by the witness's clock alone.
"""

from collections import Counter
from dataclasses import dataclass, field
from math import log10

from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.ground_truth import Truth

MOST = 40  # violations kept


@dataclass(frozen=True, slots=True)
class Claim:
    at: int
    who: int  # that said it
    change: str
    about: int  # -1: none of the fleet
    by: str = ""


@dataclass(slots=True)
class Outcome:
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    first: list[int] = field(default_factory=list)  # microseconds from an end to the first that knows,
    full: list[int] = field(default_factory=list)  # and until all know
    hours: float = 0.0  # of instances
    lines: list[str] = field(default_factory=list)

    def broken(self, rule: str, at: int, what: str) -> None:
        self.counts["violations"] += 1
        if len(self.violations) < MOST:
            self.violations.append(f"{at / 1e6:.3f} s: {rule}: {what}")


class Bounds:
    """What the terms allow, in microseconds, in a fleet of that size."""

    def __init__(self, terms: SwimConfig, count: int, waiting: int = 0) -> None:
        scale = max(1.0, log10(count + 1))
        self.least = round(terms.suspicion_multiplier * scale * terms.period)
        self.longest = round(self.least * terms.max_suspicion_factor)
        # One that doubts itself waits longer for each probe of those that are not there. Whom it asks next is
        # chance, within two rounds.
        probing = (2 * count + (1 + terms.max_health_score) * (1 + waiting)) * terms.period
        self.detect = probing + self.longest + 2 * terms.period
        self.agree = self.detect + 3 * terms.sync_interval * terms.period


def judge(truth: Truth, claims: list[Claim], terms: SwimConfig, end: int, outcome: Outcome) -> None:
    count = truth.count
    bounds = Bounds(terms, count)
    outcome.counts.update(claim.change for claim in claims)
    absent: dict[tuple[int, int], list[tuple[int, int]]] = {}

    def absences(of: int, to: int) -> list[tuple[int, int]]:
        if (of, to) not in absent:
            absent[of, to] = truth.absences(of, to, end)
        return absent[of, to]

    starved = {}  # by instance: until when it says that it was away, though nobody stopped it
    for claim in claims:
        if claim.change == "paused":
            starved.setdefault(claim.who, []).append(claim.at)
    grace = bounds.detect + bounds.longest
    for claim in claims:
        if claim.change != "died" or claim.about < 0:
            continue
        excused = any(
            stop - begin >= bounds.least and begin + bounds.least <= claim.at <= stop + grace
            for begin, stop in absences(claim.about, claim.who)
        )
        if not excused and any(0 <= claim.at - at <= grace or 0 <= at - claim.at <= grace
                               for at in starved.get(claim.about, ())):  # fmt: skip
            outcome.counts["starved"] += 1  # the machine under the rig was too busy to let it run
        elif not excused:
            outcome.broken("false death", claim.at, f"{claim.who} buried {claim.about}, which it could reach")
    detections(truth, claims, terms, end, outcome, absences)
    outcome.hours += sum(
        (stop - begin) / 3.6e9
        for number in range(count)
        for begin, stop in presence(truth, number, end)
    )  # fmt: skip


def presence(truth: Truth, who: int, end: int) -> list[tuple[int, int]]:
    ends = [moment[0] for moment in truth.moments[1:]] + [end]
    return [(moment[0], stop) for moment, stop in zip(truth.moments, ends, strict=True) if who in moment[1]]


def detections(
    truth: Truth, claims: list[Claim], terms: SwimConfig, end: int, outcome: Outcome, absences
) -> None:
    """Whoever is away for the whole bound is out of every view by then, of those that ran all the time."""
    believed: dict[tuple[int, int], list[tuple[int, bool]]] = {}
    for claim in claims:
        if claim.change in ("joined", "returned", "died", "left"):
            told = believed.setdefault((claim.who, claim.about), [])
            told.append((claim.at, claim.change in ("joined", "returned")))
    others = range(truth.count)
    for about in others:
        for begin, stop in absences(about, about):
            if begin == truth.moments[0][0]:
                continue  # not started yet
            waiting = sum(away(absences(each, each), begin, stop) for each in others)
            bound = Bounds(terms, truth.count, waiting).detect
            when, whole = [], stop - begin >= bound
            for who in others:
                starts = truth.starts.get(who, [])
                since = max((at for at in starts if at <= begin), default=0)
                told = [(at, there) for at, there in believed.get((who, about), []) if at >= since]
                before = [there for at, there in told if at <= begin]
                if any(begin < at <= begin + bound for at in starts):
                    continue
                if away(absences(who, who), begin, min(stop, begin + bound)) or not before or not before[-1]:
                    continue
                out = next((at - begin for at, there in told if not there and begin < at <= stop), None)
                if out is not None:
                    when.append(out)
                if whole and (out is None or out > bound):
                    took = "never" if out is None else f"after {out / 1e6:.1f} s"
                    outcome.broken(
                        "seen late", begin, f"{who} saw {about} go {took}, bound {bound / 1e6:.1f} s"
                    )
            if when and whole:
                outcome.first.append(min(when))
                outcome.full.append(max(when))


def away(spans: list[tuple[int, int]], begin: int, stop: int) -> bool:
    return any(b < stop and e > begin for b, e in spans)
