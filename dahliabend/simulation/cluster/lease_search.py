"""Explicit-state search over the lease election of three instances with one leased task.

Time advances in ticks of an eighth of a period. In each tick every instance that is not stopped runs the task
if it holds the lease and the task is due. Its announcements go to all others; each arrives after one or two
ticks, or is lost while losses are left. `search` explores all interleavings to a depth, and returns the
shortest trace to a violated invariant.
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
MIN_RUN_DISTANCE = 2  # ticks between two runs if there are no faults
STOP_LENGTHS = (6, 14)  # ticks; one shorter and one longer than a period
CUT_LINKS = ((0, 1), (1, 2), (2, 0))  # (sender, receiver)
MAX_REMEMBERED_RUNS = 3  # newest runs of the task kept in a state
MAX_STATES = 1_000_000
NO_INSTANCE = -1
NO_LINK = (NO_INSTANCE, NO_INSTANCE)

ElectionFactory = Callable[[str, int], LeaseElection]


class AnnouncementInTransit(NamedTuple):
    """A lease announcement on its way to one instance."""

    target: str
    announcement: LeaseAnnouncement
    is_late: bool  # it has been in transit for a tick already


class ElectionValues(NamedTuple):
    """The state of an instance's election, as hashable values."""

    fencing_token: int
    holder: str
    completed_runs: int
    last_run_at: int
    heard_at: int
    last_tick_at: int
    quiet_until: int


class Run(NamedTuple):
    """One run of the task."""

    at: int  # microseconds
    fencing_token: int
    holder: str


@dataclass(frozen=True, slots=True)
class State:
    """A state of the whole system. Two states are equal if they differ in older runs only."""

    now: int
    elections: tuple[ElectionValues, ...]
    in_transit: tuple[AnnouncementInTransit, ...]  # each arrives within two ticks
    losses_left: int
    stops_left: int
    cuts_left: int
    stopped: int = NO_INSTANCE
    stopped_until: int = 0
    cut_link: tuple[int, int] = NO_LINK
    runs: tuple[Run, ...] = ()  # the newest MAX_REMEMBERED_RUNS


class Trace(NamedTuple):
    """The moves that led to a state, as a linked list from the last one."""

    move: str
    before: "Trace | None"


@dataclass(slots=True)
class SearchResult:
    """The extent of a search, and the violation that it found."""

    states: int
    deepest: int  # ticks
    violation: str = ""
    trace: tuple[str, ...] = ()


def search(
    depth: int,
    losses: int = 0,
    stops: int = 0,
    cuts: int = 0,
    max_states: int = MAX_STATES,
    election_factory: ElectionFactory = LeaseElection,
) -> SearchResult:
    """Search breadth first, so that the first violation has the shortest trace.

    Runs by two holders with one fencing token are always a violation. Without cut links, three runs within a
    period are one too; without any fault, so are two runs less than `MIN_RUN_DISTANCE` ticks apart.

    Args:
        depth: Maximum number of ticks.
        losses: Number of announcements that may be lost.
        stops: Number of times that an instance may be stopped.
        cuts: Number of links that may be cut in one direction.
        max_states: Maximum number of states remembered.
        election_factory: Constructor of the election under test.
    """
    start = initial_state(losses, stops, cuts)
    has_faults = bool(losses or stops or cuts)
    visited = {start}
    queue: deque[tuple[State, int, Trace | None]] = deque([(start, 0, None)])
    deepest = 0
    while queue:
        state, level, trace = queue.popleft()
        deepest = level
        if level == depth:
            continue
        for move, after in moves(state, election_factory):
            violation = find_violation(state, after, has_faults=has_faults, has_cuts=bool(cuts))
            if violation:
                return SearchResult(len(visited), level + 1, violation, _move_list(Trace(move, trace)))
            if after not in visited and len(visited) < max_states:
                visited.add(after)
                queue.append((after, level + 1, Trace(move, trace)))
    return SearchResult(len(visited), deepest)


def initial_state(losses: int, stops: int, cuts: int) -> State:
    """Return the state in which the first candidate has just run the task, and all know it."""
    holder = next(name for name in NAMES if _rank(name) == 0)
    values = ElectionValues(1, holder, 1, PERIOD, PERIOD, PERIOD, 0)
    first_run = Run(PERIOD, 1, holder)
    return State(PERIOD, (values,) * len(NAMES), (), losses, stops, cuts, runs=(first_run,))


def _rank(name: str) -> int:
    """Return the rank of an instance among the candidates for the task."""
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


def _unpack(number: int, values: ElectionValues, election_factory: ElectionFactory) -> LeaseElection:
    election = election_factory(NAMES[number], PERIOD)
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


def moves(state: State, election_factory: ElectionFactory) -> Iterator[tuple[str, State]]:
    """Yield all possible states after the next tick, each with a description of the move."""
    for fault, before_tick in _faults(state):
        choices = [(True,) if sent.is_late else (True, False) for sent in before_tick.in_transit]
        for arrives in product(*choices):
            for loses_one in [False, True] if before_tick.losses_left and before_tick.in_transit else [False]:
                description = f"{sum(arrives)} of {len(arrives)} announcements arrive"
                if loses_one:
                    description += ", one is lost"
                yield fault + description, advance(before_tick, arrives, loses_one, election_factory)


def _faults(state: State) -> Iterator[tuple[str, State]]:
    """Yield the state without a new fault, and with each fault that may begin now."""
    yield "", state
    if state.stops_left and state.stopped == NO_INSTANCE:
        for number, ticks in product(range(len(NAMES)), STOP_LENGTHS):
            until = state.now + ticks * TICK
            after = replace(state, stopped=number, stopped_until=until, stops_left=state.stops_left - 1)
            yield f"stop {NAMES[number]} for {ticks} ticks; ", after
    if state.cuts_left and state.cut_link == NO_LINK:
        for source, target in CUT_LINKS:
            after = replace(state, cut_link=(source, target), cuts_left=state.cuts_left - 1)
            yield f"cut {NAMES[source]} to {NAMES[target]}; ", after


def advance(
    state: State, arrives: tuple[bool, ...], loses_one: bool, election_factory: ElectionFactory
) -> State:
    """Return the state after one more tick.

    Args:
        state: The state before the tick.
        arrives: For each announcement in transit, whether it arrives now.
        loses_one: Whether the first of them is lost instead.
        election_factory: Constructor of the election under test.
    """
    now = state.now + TICK
    elections = [_unpack(number, values, election_factory) for number, values in enumerate(state.elections)]
    stopped = state.stopped if state.stopped_until > now else NO_INSTANCE
    delayed: list[AnnouncementInTransit] = []
    for index, (pending, has_arrived) in enumerate(zip(state.in_transit, arrives, strict=True)):
        number = NAMES.index(pending.target)
        aged = _aged(pending.announcement)
        if loses_one and index == 0:
            continue
        if not has_arrived or number == stopped:  # still in transit, or unread in the socket
            delayed.append(AnnouncementInTransit(pending.target, aged, is_late=True))
        else:
            elections[number].apply_announcement(now, aged)
    runs = list(state.runs)
    sent: list[AnnouncementInTransit] = []
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
        in_transit=_newest_announcements([*delayed, *sent]),
        losses_left=state.losses_left - loses_one,
        stopped=stopped,
        runs=tuple(runs[-MAX_REMEMBERED_RUNS:]),
    )


def _announcements(
    number: int, election: LeaseElection, now: int, cut_link: tuple[int, int]
) -> Iterator[AnnouncementInTransit]:
    for target, name in enumerate(NAMES):
        if target != number and (number, target) != cut_link:
            for announcement in election.announcements(now):
                yield AnnouncementInTransit(name, announcement, is_late=False)


def _newest_announcements(pending: list[AnnouncementInTransit]) -> tuple[AnnouncementInTransit, ...]:
    """Keep the newest announcement of each holder to each target, for fewer states with the same futures."""
    newest: dict[tuple[str, str], AnnouncementInTransit] = {}
    for sent in pending:
        key = sent.target, sent.announcement.holder
        is_late = sent.is_late or (key in newest and newest[key].is_late)
        newest[key] = sent._replace(is_late=is_late)
    return tuple(sorted(newest.values(), key=lambda sent: (sent.target, sent.announcement.holder)))


def _aged(announcement: LeaseAnnouncement) -> LeaseAnnouncement:
    """Return the announcement with its age increased by one tick."""
    return LeaseAnnouncement(
        announcement.task,
        announcement.fencing_token,
        announcement.holder,
        announcement.completed_runs,
        announcement.age_ms + TICK // MICROSECONDS_PER_MILLISECOND,
        announcement.result,
    )


def find_violation(before: State, after: State, *, has_faults: bool, has_cuts: bool) -> str:
    """Return a description of an invariant that a tick violated, "" if all hold."""
    for values, old in zip(after.elections, before.elections, strict=True):
        if values.fencing_token < old.fencing_token:
            return f"a fencing token decreased: {tuple(old[:2])} to {tuple(values[:2])}"
    holders: dict[int, str] = {}
    for run in after.runs:
        first_holder = holders.setdefault(run.fencing_token, run.holder)
        if first_holder != run.holder:
            return f"{run.holder} and {first_holder} both ran the task with fencing token {run.fencing_token}"
        if run.at > after.now:
            return f"run at {run.at} us is later than now, {after.now} us"
    return _find_close_runs(after.runs, has_faults, has_cuts)


def _find_close_runs(runs: tuple[Run, ...], has_faults: bool, has_cuts: bool) -> str:
    if not has_faults and len(runs) > 1 and runs[-1].at - runs[-2].at < MIN_RUN_DISTANCE * TICK:
        return f"two runs within {MIN_RUN_DISTANCE} ticks: {tuple(map(tuple, runs[-2:]))}"
    if not has_cuts and len(runs) == MAX_REMEMBERED_RUNS and runs[-1].at - runs[0].at < PERIOD:
        return f"three runs within a period: {tuple(map(tuple, runs))}"
    return ""


def _move_list(trace: Trace | None) -> tuple[str, ...]:
    descriptions = []
    while trace is not None:
        descriptions.append(trace.move)
        trace = trace.before
    return tuple(reversed(descriptions))
