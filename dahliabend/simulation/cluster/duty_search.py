"""All interleavings of three instances with one duty, to a stated depth: what leases allow when words come
late, are lost, one instance stops, or one way is cut.

Time goes in eighths of a period. In each an instance that is not stopped looks whether it is its turn; what
each tells goes to every other and comes there after one eighth, or two, or is lost while losses are left.
`search` says how many states it saw and the shortest trace to a broken invariant.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import product

from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import Lease, LeaseAnnouncement

PERIOD = 8_000_000
EIGHTH = PERIOD // 8
TASK = "d"
NAMES = ("b0", "b1", "b2")
MEMBERS = tuple((name, "") for name in NAMES)
APART = 2  # eighths between two effects, without a cut, a loss or a stop

Letter = tuple[str, LeaseAnnouncement, bool]  # to whom; is it late already?


@dataclass(frozen=True, slots=True)
class State:
    now: int
    known: tuple[tuple, ...]  # of each instance: its Known, last and quiet, as values
    mail: tuple[Letter, ...]  # comes in the next eighth at the latest
    losses: int
    stops: int
    cuts: int
    stopped: int = -1  # which one, and until when
    until: int = 0
    cut: tuple[int, int] = (-1, -1)  # the way that is cut, from and to
    done: tuple[tuple[int, int, str], ...] = ()  # the last effects: when, number, by whom


def packed(machine: LeaseElection) -> tuple:
    known = machine.leases[TASK]
    return (
        known.fencing_token,
        known.holder,
        known.completed_runs,
        known.last_run_at,
        known.heard_at,
        machine.last_tick_at,
        machine.quiet_until,
    )


def unpacked(number: int, values: tuple, make: Callable[[str, int], LeaseElection]) -> LeaseElection:
    made = make(NAMES[number], PERIOD)
    made.task_zones, made.members, made.view_settled = {TASK: ""}, MEMBERS, True
    fencing_token, holder, count, at, told, made.last_tick_at, made.quiet_until = values
    made.leases = {TASK: Lease(fencing_token, holder, count, at, 0, told)}
    return made


def start(losses: int, stops: int, cuts: int) -> State:
    """The first in the order has just done it; all know."""
    made = LeaseElection("b0", PERIOD)
    made.update_tasks(PERIOD, {TASK: ""})
    made.update_members(PERIOD, MEMBERS, True)
    holder = next(name for name in NAMES if placed(name) == 0)
    values = (1, holder, 1, PERIOD, PERIOD, PERIOD, 0)
    return State(PERIOD, (values,) * 3, (), losses, stops, cuts, done=((PERIOD, 1, holder),))


def placed(name: str) -> int:
    made = LeaseElection(name, PERIOD)
    made.update_tasks(PERIOD, {TASK: ""})
    made.update_members(PERIOD, MEMBERS, True)
    return made.rank(TASK)


def moves(state: State, make: Callable[[str, int], LeaseElection]) -> Iterator[tuple[str, State]]:
    """The next eighth, in all ways in which it may go."""
    faults = [("", state)]
    if state.stops and state.stopped < 0:
        for number, eighths in product(range(3), (6, 14)):
            until = state.now + eighths * EIGHTH
            faults.append((f"stop {NAMES[number]} for {eighths} eighths; ",
                           replace(state, stopped=number, until=until, stops=state.stops - 1)))  # fmt: skip
    if state.cuts and state.cut[0] < 0:
        for way in ((0, 1), (1, 2), (2, 0)):
            faults.append(
                (f"cut {NAMES[way[0]]} to {NAMES[way[1]]}; ", replace(state, cut=way, cuts=state.cuts - 1))
            )
    for told, begun in faults:
        fates = [(True,) if late else (True, False) for _, _, late in begun.mail]
        for late in product(*fates):
            lost = [False, True] if begun.losses and begun.mail else [False]
            for losing in lost:
                yield told + fate(late, losing), step(begun, late, losing, make)


def fate(late: tuple[bool, ...], losing: bool) -> str:
    here = sum(late)
    return f"{here} of {len(late)} words come" + (", one is lost" if losing else "")


def step(
    state: State, come: tuple[bool, ...], losing: bool, make: Callable[[str, int], LeaseElection]
) -> State:
    now = state.now + EIGHTH
    machines = [unpacked(number, values, make) for number, values in enumerate(state.known)]
    stopped = state.stopped if state.until > now else -1
    waiting: list[Letter] = []
    lost = losing
    for letter, here in zip(state.mail, come, strict=True):
        number = NAMES.index(letter[0])
        if losing:
            losing = False
        elif not here or number == stopped:  # on its way, or it lies in the socket
            waiting.append((letter[0], replace_age(letter[1]), True))
        else:
            machines[number].apply_announcement(now, replace_age(letter[1]))
    done, mail = list(state.done), []
    for number, machine in enumerate(machines):
        if number == stopped:
            continue
        for due in machine.tick(now):
            machine.complete(now, due, 0)
            done.append((now, due.fencing_token, machine.own_name))
        for other in range(3):
            if other != number and (number, other) != state.cut:
                mail += [(NAMES[other], each, False) for each in machine.announcements(now)]
    # What a later word of the same says anew need not come twice: fewer states, the same futures.
    newest: dict[tuple[str, str], Letter] = {}
    for letter in [*waiting, *mail]:
        key = letter[0], letter[1].holder
        newest[key] = (*letter[:2], letter[2] or key in newest and newest[key][2])
    return replace(
        state, now=now, known=tuple(packed(machine) for machine in machines),
        mail=tuple(sorted(newest.values(), key=lambda each: (each[0], each[1].holder))),
        losses=state.losses - lost,
        stopped=stopped, done=tuple(done[-3:]),
    )  # fmt: skip


def replace_age(done: LeaseAnnouncement) -> LeaseAnnouncement:
    return LeaseAnnouncement(
        done.task,
        done.fencing_token,
        done.holder,
        done.completed_runs,
        done.age_ms + EIGHTH // 1_000,
        done.result,
    )


def broken(state: State, before: State, calm: bool, whole: bool) -> str:
    """An invariant that does not hold, in a line; "" where all do."""
    for values, old in zip(state.known, before.known, strict=True):
        if values[0] < old[0]:
            return f"a number went back: {old[:2]} to {values[:2]}"
    numbers: dict[int, str] = {}
    for at, number, who in state.done:
        if numbers.setdefault(number, who) != who:
            return f"{who} and {numbers[number]} both did it under number {number}"
        if at > state.now:
            return "done in the time to come"
    times = [at for at, _, _ in state.done]
    if calm and len(times) > 1 and times[-1] - times[-2] < APART * EIGHTH:
        return f"done twice within {APART} eighths: {state.done[-2:]}"
    if whole and len(times) > 2 and times[-1] - times[-3] < PERIOD:
        return f"three times within a period: {state.done}"
    return ""


@dataclass(slots=True)
class Found:
    states: int
    depth: int
    broken: str = ""
    trace: tuple[str, ...] = ()


def search(
    depth: int, losses: int = 0, stops: int = 0, cuts: int = 0, most: int = 1_000_000,
    make: Callable[[str, int], LeaseElection] = LeaseElection,
) -> Found:  # fmt: skip
    """Breadth first, so that the first broken invariant has the shortest trace. Two under one number are
    always broken; without a cut more than two in a period too, without any fault two close together."""
    first = start(losses, stops, cuts)
    seen, queue = {first}, deque([(first, 0, None)])
    reached = 0
    while queue:
        state, level, way = queue.popleft()
        reached = level
        if level == depth:
            continue
        for name, after in moves(state, make):
            wrong = broken(after, state, calm=not (losses or stops or cuts), whole=not cuts)
            if wrong:
                return Found(len(seen), level + 1, wrong, trace((name, way)))
            if after not in seen and len(seen) < most:
                seen.add(after)
                queue.append((after, level + 1, (name, way)))
    return Found(len(seen), reached)


def trace(way) -> tuple[str, ...]:
    made = []
    while way is not None:
        name, way = way
        made.append(name)
    return tuple(reversed(made))
