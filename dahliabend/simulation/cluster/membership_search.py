"""Explicit-state search over the membership protocol of a few instances, to a given depth.

A state is the instances, the datagrams in transit, the time, and how many faults are left. A move delivers
one datagram (any of those in transit: they overtake each other), loses one, lets time pass to the next timer,
or stops an instance for a while. Two states that differ only in their history are the same.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator, MutableSequence
from copy import copy
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from dahliabend.membership.member_table import Member
from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig

START_TIME = 1_000_000_000  # microseconds
MAX_STATES = 200_000
MAX_SETTLE_MOVES = 400  # for a cluster left alone to come to rest


class Datagram(NamedTuple):
    """A datagram in transit."""

    source: str
    target: str
    payload: bytes


class FixedRandom(Random):
    """A generator that is the same in each state: what it decides is not what is searched."""

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:  # noqa: ARG002 -- the signature of `Random`
        """The start of the range."""
        return 0 if stop is None else start

    def getrandbits(self, k: int) -> int:  # noqa: ARG002 -- the signature of `Random`
        """No bit set."""
        return 0

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Sort the sequence."""
        x[:] = sorted(x)

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list[Any]:  # noqa: ANN401, ARG002 -- the signature of `Random`
        """The first items in order."""
        return sorted(population)[:k]


@dataclass(slots=True)
class State:
    """Machines are shared between states: one that acts is copied first."""

    machines: dict[str, MembershipProtocol]
    hashes: dict[str, int]  # of each machine's state
    in_transit: tuple[Datagram, ...]  # sorted
    now: int
    losses_left: int
    pauses_left: int
    pause_length: int
    stopped: str = ""
    stopped_until: int = 0

    def copy(self) -> "State":
        """A state that can go another way from here."""
        duplicate = copy(self)
        duplicate.machines = self.machines.copy()
        duplicate.hashes = self.hashes.copy()
        return duplicate

    def own_machine(self, name: str) -> MembershipProtocol:
        """A copy of a machine that belongs to this state alone."""
        machine = self.machines[name].duplicate()
        self.machines[name] = machine
        return machine

    def deliver(self, datagram: Datagram) -> None:
        """Have a datagram arrive."""
        machine = self.own_machine(datagram.target)
        machine.receive_datagram(self.now, datagram.payload, datagram.source)
        self.transmit(datagram.target)

    def transmit(self, name: str) -> None:
        """Take over the datagrams that a machine left, and its new state."""
        machine = self.machines[name]
        outgoing = machine.take_outgoing()
        sent = [Datagram(name, target, data) for target, data in outgoing if target in self.machines]
        self.in_transit = tuple(sorted((*self.in_transit, *sent)))
        self.hashes[name] = hash(machine.state_key())

    def key(self) -> tuple[object, ...]:
        """Equal for states with the same future."""
        datagrams = tuple(map(hash, self.in_transit))
        counters = self.now, self.losses_left, self.pauses_left, self.stopped, self.stopped_until
        return (*self.hashes.values(), datagrams, *counters)


class Trace(NamedTuple):
    """The moves that led to a state, the last one first."""

    move: str
    before: "Trace | None"


@dataclass(slots=True)
class SearchResult:
    """What a search saw."""

    states: int = 0
    transitions: int = 0
    leaves: int = 0  # states of the last depth
    deepest: int = 0
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    moves: Counter[str] = field(default_factory=Counter)  # by the last word of their description

    def fail(self, violation: str, trace: Trace | None) -> "SearchResult":
        """The result with a violation and the moves that led to it."""
        self.violation = violation
        self.trace = _moves_of(trace)
        return self


def initial_state(
    config: SwimConfig,
    count: int = 3,
    losses: int = 1,
    pauses: int = 1,
    make: Callable[..., MembershipProtocol] = MembershipProtocol,
    is_suspected: bool = False,
) -> State:
    """A cluster whose instances know each other, just before their first periods, which begin one by one.

    Args:
        config: of the protocol.
        count: instances.
        losses: datagrams that may be lost.
        pauses: times that an instance may be stopped.
        make: constructor of the protocol under test.
        is_suspected: the first has just come to suspect the second.
    """
    machines = {f"b{n}": make(f"b{n}", 1, f"b{n}", config, FixedRandom(0)) for n in range(count)}
    state = State(machines, {}, (), START_TIME, losses, pauses, config.period * 5 // 4)
    for number, machine in enumerate(machines.values()):
        updates = [other.self_update for other in machines.values()]
        first_period = START_TIME + 1 + number * config.period // count
        machine.start_with_members(START_TIME, updates, first_period_at=first_period)
        state.transmit(machine.name)
    if is_suspected:
        machines["b0"].suspect_member(START_TIME, "b1")
        machines["b0"].timer_fired(START_TIME + 1)
        state.transmit("b0")
    return state


def moves(state: State) -> Iterator[tuple[str, State]]:
    """All states that may come next, each with a description of the move."""
    for place, datagram in enumerate(state.in_transit):
        if place and datagram == state.in_transit[place - 1]:
            continue
        others = state.in_transit[:place] + state.in_transit[place + 1 :]
        link = f"{datagram.source} -> {datagram.target}"
        if datagram.target != state.stopped:
            after = state.copy()
            after.in_transit = others
            after.deliver(datagram)
            yield f"{link} comes", after
        if state.losses_left:
            after = state.copy()
            after.in_transit = others
            after.losses_left -= 1
            yield f"{link} is lost", after
    name, at = next_timer(state)
    after = state.copy()
    fire_timer(after, name, at)
    yield f"{name} wakes", after
    if state.pauses_left and not state.stopped:
        for name in state.machines:
            after = state.copy()
            after.pauses_left -= 1
            after.stopped = name
            after.stopped_until = state.now + state.pause_length
            yield f"{name} is stopped", after


def next_timer(state: State) -> tuple[str, int]:
    """The instance whose timer is next, and when it fires."""
    due = {name: m.timer_due for name, m in state.machines.items() if name != state.stopped}
    if state.stopped:
        due[state.stopped] = max(state.stopped_until, state.machines[state.stopped].timer_due)
    name = min(due, key=lambda name: (due[name], name))
    return name, due[name]


def fire_timer(state: State, name: str, at: int) -> None:
    """Let time pass to an instance's timer; a stopped one resumes."""
    state.now = max(state.now, at)
    if name == state.stopped:
        state.stopped = ""
    state.own_machine(name).timer_fired(state.now)
    state.transmit(name)


def search(
    start: State,
    depth: int,
    check: Callable[[State, State], str],
    max_states: int = MAX_STATES,
    settle_every: int = 0,
) -> SearchResult:
    """Search breadth first, so that the first violation has a shortest trace.

    Args:
        start: the state to begin with.
        depth: moves.
        check: called with the states before and after a move; returns the violation or "".
        max_states: states visited at the most.
        settle_every: one in so many states of the last depth is left alone and has to settle; 0: none.
    """
    result = SearchResult(states=1)
    known = {start.key()}
    waiting: deque[tuple[State, int, Trace | None]] = deque([(start, 0, None)])
    while waiting and result.states < max_states:
        state, level, trace = waiting.popleft()
        if level == depth:
            result.leaves += 1
            if settle_every and result.leaves % settle_every == 0 and (violation := find_unsettled(state)):
                return result.fail(violation, trace)
            continue
        for move, after in moves(state):
            result.transitions += 1
            result.moves[move.split()[-1]] += 1
            violation = check(state, after)
            if violation:
                return result.fail(violation, Trace(move, trace))
            key = after.key()
            if key not in known:
                known.add(key)
                result.states += 1
                result.deepest = max(result.deepest, level + 1)
                waiting.append((after, level + 1, Trace(move, trace)))
    return result


def _moves_of(trace: Trace | None) -> list[str]:
    found = []
    while trace is not None:
        found.append(trace.move)
        trace = trace.before
    return found[::-1]


def find_unsafe_change(before: State, after: State) -> str:
    """The safety invariant that a move violated, "" if none.

    No incarnation goes backwards; a refuted suspicion never kills; no member is declared dead without a full
    suspicion, nor by an instance that has just woken.
    """
    for name, machine in after.machines.items():
        was = before.machines[name]
        if machine is was:
            continue
        own = machine.self_update
        old_own = was.self_update
        if own.incarnation < old_own.incarnation and machine.generation == was.generation:
            return f"{name}: its own incarnation went back"
        for subject, member in machine.members.items():
            old = was.members.get(subject)
            if old is None:
                continue
            new_version = member.update.generation, member.update.incarnation
            if new_version < (old.update.generation, old.update.incarnation):
                return f"{name}: {subject}'s incarnation went back"
            was_alive = old.update.status is not MemberStatus.DEAD
            if member.update.status is MemberStatus.DEAD and was_alive:
                violation = _find_unsafe_death(before, after, machine, subject, old)
                if violation:
                    return violation
    return ""


def _find_unsafe_death(
    before: State, after: State, machine: MembershipProtocol, subject: str, old: Member
) -> str:
    name = machine.name
    config = machine.config
    buried = f"{name} buried {subject}"
    lateness = after.now - before.machines[name].timer_due
    if before.stopped == name and lateness > config.late_timer_ratio * config.period:
        return f"{buried} as it woke"
    if old.update.status is not MemberStatus.SUSPECT:
        return f"{buried}, which it had not suspected"
    if machine.members[subject].update.incarnation != old.update.incarnation:
        return f"{buried} by a suspicion that was refuted"
    suspicion = after.now - old.suspected_at
    if suspicion < round(config.suspicion_multiplier * config.period):
        return f"{buried} {suspicion} us after it was suspected"
    if after.now < machine.unsettled_until:
        return f"{buried} before it had asked"
    return ""


def find_unsettled(state: State, max_moves: int = MAX_SETTLE_MOVES) -> str:
    """The liveness invariant: left alone, without faults, all come to one view with all in it; "" if so."""
    state = state.copy()
    state.losses_left = 0
    state.pauses_left = 0
    for _ in range(max_moves):
        if state.in_transit:
            datagram, *others = state.in_transit
            state.in_transit = tuple(others)
            if datagram.target != state.stopped:
                state.deliver(datagram)
            continue
        fire_timer(state, *next_timer(state))
        views = [machine.view(state.now) for machine in state.machines.values()]
        are_complete = all(view.stable and len(view.members) == len(views) for view in views)
        if not state.in_transit and are_complete:
            return "" if len({view.checksum for view in views}) == 1 else "views differ at rest"
    return "no rest was reached"
