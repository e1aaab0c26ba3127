"""Explicit-state search over the lease election of three instances with one leased task.

Time advances in ticks of an eighth of a period. In each tick every instance that is not stopped looks whether
the task is due to it; its announcements go to all others and arrive after one tick, or two, or are lost while
losses are left. `search` explores all interleavings to a depth, and gives the shortest trace to a violated
invariant.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import product
from typing import NamedTuple

from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import Lease, LeaseAnnouncement

PERIOD = 8_000_000  # microseconds
TICKS_PER_PERIOD = 8
TICK = PERIOD // TICKS_PER_PERIOD
MICROSECONDS_PER_MILLISECOND = 1_000
TASK = "d"
NAMES = ("b0", "b1", "b2")
MEMBERS = tuple(Candidate(name, zone="") for name in NAMES)
MIN_RUN_DISTANCE = 2  # ticks between two runs, without a cut, a loss or a stop
STOP_LENGTHS = (6, 14)  # ticks
CUT_LINKS = ((0, 1), (1, 2), (2, 0))
MAX_REMEMBERED_RUNS = 3  # of the newest runs in a state
MAX_STATES = 1_000_000
NO_INSTANCE = -1
NO_LINK = (NO_INSTANCE, NO_INSTANCE)

MakeElection = Callable[[str, int], LeaseElection]


class Letter(NamedTuple):
    """An announcement on its way."""

    target: str
    announcement: LeaseAnnouncement
    is_late: bool  # it has been on its way for a tick already


class ElectionValues(NamedTuple):
    """The state of one instance's election, as plain values."""

    fencing_token: int
    holder: str
    completed_runs: int
    last_run_at: int
    heard_at: int
    last_tick_at: int
    quiet_until: int


class Run(NamedTuple):
    """One run of the task."""

    at: int
    fencing_token: int
    holder: str


@dataclass(frozen=True, slots=True)
class State:
    """A state of the whole system; two that differ only in their history are equal."""

    now: int
    elections: tuple[ElectionValues, ...]
    in_transit: tuple[Letter, ...]  # arrives in the next tick but one at the latest
    losses_left: int
    stops_left: int
    cuts_left: int
    stopped: int = NO_INSTANCE
    stopped_until: int = 0
    cut_link: tuple[int, int] = NO_LINK
    runs: tuple[Run, ...] = ()  # the newest


class Trace(NamedTuple):
    """The moves that led to a state, the last one first."""

    move: str
    before: "Trace | None"


@dataclass(slots=True)
class SearchResult:
    """What a search saw."""

    states: int
    depth: int
    violation: str = ""
    trace: tuple[str, ...] = ()


def search(
    depth: int,
    losses: int = 0,
    stops: int = 0,
    cuts: int = 0,
    max_states: int = MAX_STATES,
    make: MakeElection = LeaseElection,
) -> SearchResult:
    """Search breadth first, so that the first violation has the shortest trace.

    Two runs under one fencing token are always a violation; without a cut also three within a period, without
    any fault also two close together.

    Args:
        depth: ticks.
        losses: announcements that may be lost.
        stops: times that an instance may be stopped.
        cuts: links that may be cut one way.
        max_states: states remembered at the most.
        make: constructor of the election under test.
    """
    first = initial_state(losses, stops, cuts)
    has_faults = bool(losses or stops or cuts)
    seen = {first}
    queue: deque[tuple[State, int, Trace | None]] = deque([(first, 0, None)])
    reached = 0
    while queue:
        state, level, trace = queue.popleft()
        reached = level
        if level == depth:
            continue
        for move, after in moves(state, make):
            violation = find_violation(after, state, has_faults=has_faults, has_cuts=bool(cuts))
            if violation:
                return SearchResult(len(seen), level + 1, violation, _moves_of(Trace(move, trace)))
            if after not in seen and len(seen) < max_states:
                seen.add(after)
                queue.append((after, level + 1, Trace(move, trace)))
    return SearchResult(len(seen), reached)


def initial_state(losses: int, stops: int, cuts: int) -> State:
    """The first candidate has just run the task, and all know it."""
    holder = next(name for name in NAMES if _rank(name) == 0)
    values = ElectionValues(1, holder, 1, PERIOD, PERIOD, PERIOD, 0)
    first_run = Run(PERIOD, 1, holder)
    return State(PERIOD, (values,) * len(NAMES), (), losses, stops, cuts, runs=(first_run,))


def _rank(name: str) -> int:
    """The instance's place among the candidates for the task."""
    election = LeaseElection(name, PERIOD)
    election.update_tasks(PERIOD, {TASK: ""})
    election.update_members(PERIOD, MEMBERS, settled=True)
    return election.rank(TASK)


def _pack(election: LeaseElection) -> ElectionValues:
    lease = election.leases[TASK]
    return ElectionValues(
        lease.fencing_token,
        lease.holder,
        lease.completed_runs,
        lease.last_run_at,
        lease.heard_at,
        election.last_tick_at,
        election.quiet_until,
    )


def _unpack(number: int, values: ElectionValues, make: MakeElection) -> LeaseElection:
    election = make(NAMES[number], PERIOD)
    election.task_zones = {TASK: ""}
    election.members = MEMBERS
    election.view_settled = True
    election.last_tick_at = values.last_tick_at
    election.quiet_until = values.quiet_until
    lease = Lease(
        values.fencing_token, values.holder, values.completed_runs, values.last_run_at, 0, values.heard_at
    )
    election.leases = {TASK: lease}
    return election


def moves(state: State, make: MakeElection) -> Iterator[tuple[str, State]]:
    """All ways in which the next tick may go, each with a description."""
    for fault, begun in _faults(state):
        choices = [(True,) if letter.is_late else (True, False) for letter in begun.in_transit]
        for arrives in product(*choices):
            for loses_one in [False, True] if begun.losses_left and begun.in_transit else [False]:
                description = f"{sum(arrives)} of {len(arrives)} words come"
                if loses_one:
                    description += ", one is lost"
                yield fault + description, advance(begun, arrives, loses_one, make)


def _faults(state: State) -> Iterator[tuple[str, State]]:
    """The state as it is, and with each fault that may begin now."""
    yield "", state
    if state.stops_left and state.stopped == NO_INSTANCE:
        for number, ticks in product(range(len(NAMES)), STOP_LENGTHS):
            until = state.now + ticks * TICK
            after = replace(state, stopped=number, stopped_until=until, stops_left=state.stops_left - 1)
            yield f"stop {NAMES[number]} for {ticks} eighths; ", after
    if state.cuts_left and state.cut_link == NO_LINK:
        for source, target in CUT_LINKS:
            after = replace(state, cut_link=(source, target), cuts_left=state.cuts_left - 1)
            yield f"cut {NAMES[source]} to {NAMES[target]}; ", after


def advance(state: State, arrives: tuple[bool, ...], loses_one: bool, make: MakeElection) -> State:
    """The state after one more tick.

    Args:
        state: before the tick.
        arrives: whether each announcement on its way arrives now.
        loses_one: whether the first of them is lost instead.
        make: constructor of the election under test.
    """
    now = state.now + TICK
    elections = [_unpack(number, values, make) for number, values in enumerate(state.elections)]
    stopped = state.stopped if state.stopped_until > now else NO_INSTANCE
    waiting: list[Letter] = []
    for index, (letter, is_here) in enumerate(zip(state.in_transit, arrives, strict=True)):
        number = NAMES.index(letter.target)
        aged = _aged(letter.announcement)
        if loses_one and index == 0:
            continue
        if not is_here or number == stopped:  # on its way, or unread in the socket
            waiting.append(Letter(letter.target, aged, is_late=True))
        else:
            elections[number].apply_announcement(now, aged)
    runs = list(state.runs)
    sent: list[Letter] = []
    for number, election in enumerate(elections):
        if number == stopped:
            continue
        for due in election.tick(now):
            election.complete(now, due, 0)
            runs.append(Run(now, due.fencing_token, election.own_name))
        sent += _announcements(number, election, now, state.cut_link)
    return replace(
        state,
        now=now,
        elections=tuple(map(_pack, elections)),
        in_transit=_newest_letters([*waiting, *sent]),
        losses_left=state.losses_left - loses_one,
        stopped=stopped,
        runs=tuple(runs[-MAX_REMEMBERED_RUNS:]),
    )


def _announcements(
    number: int, election: LeaseElection, now: int, cut_link: tuple[int, int]
) -> Iterator[Letter]:
    for other, name in enumerate(NAMES):
        if other != number and (number, other) != cut_link:
            for announcement in election.announcements(now):
                yield Letter(name, announcement, is_late=False)


def _newest_letters(letters: list[Letter]) -> tuple[Letter, ...]:
    """One letter of each holder to each target: the newest. Fewer states, the same futures."""
    newest: dict[tuple[str, str], Letter] = {}
    for letter in letters:
        key = letter.target, letter.announcement.holder
        is_late = letter.is_late or (key in newest and newest[key].is_late)
        newest[key] = letter._replace(is_late=is_late)
    return tuple(sorted(newest.values(), key=lambda letter: (letter.target, letter.announcement.holder)))


def _aged(announcement: LeaseAnnouncement) -> LeaseAnnouncement:
    """The announcement, one tick older."""
    return LeaseAnnouncement(
        announcement.task,
        announcement.fencing_token,
        announcement.holder,
        announcement.completed_runs,
        announcement.age_ms + TICK // MICROSECONDS_PER_MILLISECOND,
        announcement.result,
    )


def find_violation(state: State, before: State, *, has_faults: bool, has_cuts: bool) -> str:
    """The invariant that does not hold, in a line; "" if all hold."""
    for values, old in zip(state.elections, before.elections, strict=True):
        if values.fencing_token < old.fencing_token:
            return f"a number went back: {tuple(old[:2])} to {tuple(values[:2])}"
    holders: dict[int, str] = {}
    for run in state.runs:
        first_holder = holders.setdefault(run.fencing_token, run.holder)
        if first_holder != run.holder:
            return f"{run.holder} and {first_holder} both did it under number {run.fencing_token}"
        if run.at > state.now:
            return "done in the time to come"
    return _find_close_runs(state.runs, has_faults, has_cuts)


def _find_close_runs(runs: tuple[Run, ...], has_faults: bool, has_cuts: bool) -> str:
    if not has_faults and len(runs) > 1 and runs[-1].at - runs[-2].at < MIN_RUN_DISTANCE * TICK:
        return f"done twice within {MIN_RUN_DISTANCE} eighths: {tuple(map(tuple, runs[-2:]))}"
    if not has_cuts and len(runs) == MAX_REMEMBERED_RUNS and runs[-1].at - runs[0].at < PERIOD:
        return f"three times within a period: {tuple(map(tuple, runs))}"
    return ""


def _moves_of(trace: Trace | None) -> tuple[str, ...]:
    found = []
    while trace is not None:
        found.append(trace.move)
        trace = trace.before
    return tuple(reversed(found))
