"""Explicit-state search over the membership protocol of a few instances, to a given depth.

A state consists of the instances, the datagrams in transit, the time, and the number of faults left. A move
delivers one datagram (any of those in transit, so they are reordered), loses one, advances the time to the
next timer, or stops an instance for a while. Two states that differ only in their history are equal.
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
MAX_SETTLE_MOVES = 400  # for a cluster without further faults to settle


class Datagram(NamedTuple):
    """A datagram in transit."""

    source: str
    target: str
    payload: bytes


class FixedRandom(Random):
    """A deterministic generator, equal in each state: the search does not explore random decisions."""

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:  # noqa: ARG002 -- the signature of `Random`
        """Return the start of the range."""
        return 0 if stop is None else start

    def getrandbits(self, k: int) -> int:  # noqa: ARG002 -- the signature of `Random`
        """Return 0."""
        return 0

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Sort the sequence."""
        x[:] = sorted(x)

    def sample(self, population: Any, k: int, *, counts: Any = None) -> list[Any]:  # noqa: ANN401, ARG002 -- the signature of `Random`
        """Return the first items in sort order."""
        return sorted(population)[:k]


@dataclass(slots=True)
class State:
    """A state of the whole system. States share machines; one is copied before it processes an input."""

    machines: dict[str, MembershipProtocol]
    hashes: dict[str, int]  # by name: hash of the machine's state
    in_transit: tuple[Datagram, ...]  # sorted
    now: int  # microseconds
    losses_left: int
    stops_left: int
    stop_length: int  # microseconds
    stopped: str = ""  # the name of the stopped instance
    stopped_until: int = 0

    def copy(self) -> "State":
        """Return a copy that can be changed without an effect on this state."""
        duplicate = copy(self)
        duplicate.machines = self.machines.copy()
        duplicate.hashes = self.hashes.copy()
        return duplicate

    def copy_machine(self, name: str) -> MembershipProtocol:
        """Replace a machine by a copy that no other state shares, and return the copy."""
        machine = self.machines[name].duplicate()
        self.machines[name] = machine
        return machine

    def deliver(self, datagram: Datagram) -> None:
        """Deliver a datagram to its target."""
        machine = self.copy_machine(datagram.target)
        machine.receive_datagram(self.now, datagram.payload, datagram.source)
        self.transmit(datagram.target)

    def transmit(self, name: str) -> None:
        """Put the datagrams that a machine sends in transit, and update the hash of its state."""
        machine = self.machines[name]
        outgoing = machine.take_outgoing()
        sent = [Datagram(name, target, data) for target, data in outgoing if target in self.machines]
        self.in_transit = tuple(sorted((*self.in_transit, *sent)))
        self.hashes[name] = hash(machine.state_key())

    def key(self) -> tuple[object, ...]:
        """Return a key that is equal for states with the same future."""
        datagrams = tuple(map(hash, self.in_transit))
        counters = self.now, self.losses_left, self.stops_left, self.stopped, self.stopped_until
        return (*self.hashes.values(), datagrams, *counters)


class Trace(NamedTuple):
    """The moves that led to a state, as a linked list from the last one."""

    move: str
    before: "Trace | None"


@dataclass(slots=True)
class SearchResult:
    """The extent of a search, and the violation that it found."""

    states: int = 0
    transitions: int = 0
    leaves: int = 0  # states at the maximum depth
    deepest: int = 0  # moves
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    # Number of moves by kind, the last word of the description: delivered, lost, fires, stopped.
    moves: Counter[str] = field(default_factory=Counter)

    def fail(self, violation: str, trace: Trace | None) -> "SearchResult":
        """Set the violation and the moves that led to it, and return the result."""
        self.violation = violation
        self.trace = _move_list(trace)
        return self


def initial_state(
    config: SwimConfig,
    count: int = 3,
    losses: int = 1,
    stops: int = 1,
    protocol_factory: Callable[..., MembershipProtocol] = MembershipProtocol,
    is_suspected: bool = False,
) -> State:
    """Return a cluster whose instances know each other, just before their staggered first periods.

    Args:
        config: Settings of the protocol.
        count: Number of instances.
        losses: Number of datagrams that may be lost.
        stops: Number of times that an instance may be stopped.
        protocol_factory: Constructor of the protocol under test.
        is_suspected: Whether the first instance has just begun to suspect the second.
    """
    machines = {f"b{n}": protocol_factory(f"b{n}", 1, f"b{n}", config, FixedRandom(0)) for n in range(count)}
    state = State(machines, {}, (), START_TIME, losses, stops, config.period * 5 // 4)
    for number, machine in enumerate(machines.values()):
        updates = [member.self_update for member in machines.values()]
        first_period = START_TIME + 1 + number * config.period // count
        machine.start_with_members(START_TIME, updates, first_period_at=first_period)
        state.transmit(machine.name)
    if is_suspected:
        machines["b0"].suspect_member(START_TIME, "b1")
        machines["b0"].timer_fired(START_TIME + 1)
        state.transmit("b0")
    return state


def moves(state: State) -> Iterator[tuple[str, State]]:
    """Yield all possible next states, each with a description of the move."""
    for index, datagram in enumerate(state.in_transit):
        if index and datagram == state.in_transit[index - 1]:
            continue
        remaining = state.in_transit[:index] + state.in_transit[index + 1 :]
        link = f"{datagram.source} -> {datagram.target}"
        if datagram.target != state.stopped:
            after = state.copy()
            after.in_transit = remaining
            after.deliver(datagram)
            yield f"{link} is delivered", after
        if state.losses_left:
            after = state.copy()
            after.in_transit = remaining
            after.losses_left -= 1
            yield f"{link} is lost", after
    name, due = next_timer(state)
    after = state.copy()
    fire_timer(after, name, due)
    yield f"timer of {name} fires", after
    if state.stops_left and not state.stopped:
        for name in state.machines:
            after = state.copy()
            after.stops_left -= 1
            after.stopped = name
            after.stopped_until = state.now + state.stop_length
            yield f"{name} is stopped", after


def next_timer(state: State) -> tuple[str, int]:
    """Return the instance whose timer fires next, and when."""
    due = {name: m.timer_due for name, m in state.machines.items() if name != state.stopped}
    if state.stopped:
        due[state.stopped] = max(state.stopped_until, state.machines[state.stopped].timer_due)
    name = min(due, key=lambda name: (due[name], name))
    return name, due[name]


def fire_timer(state: State, name: str, at: int) -> None:
    """Advance the time to `at` and fire an instance's timer; a stopped instance resumes first."""
    state.now = max(state.now, at)
    if name == state.stopped:
        state.stopped = ""
    state.copy_machine(name).timer_fired(state.now)
    state.transmit(name)


def search(
    start: State,
    depth: int,
    check: Callable[[State, State], str],
    max_states: int = MAX_STATES,
    settle_check_interval: int = 0,
) -> SearchResult:
    """Search breadth first, so that the first violation has a shortest trace.

    Args:
        start: The first state.
        depth: Maximum number of moves.
        check: Called with the states before and after a move; returns the violation or "".
        max_states: Maximum number of states remembered.
        settle_check_interval: Every n-th state at the maximum depth is checked for liveness; 0: none.
    """
    result = SearchResult(states=1)
    visited = {start.key()}
    queue: deque[tuple[State, int, Trace | None]] = deque([(start, 0, None)])
    while queue and result.states < max_states:
        state, level, trace = queue.popleft()
        if level == depth:
            result.leaves += 1
            is_checked = settle_check_interval and result.leaves % settle_check_interval == 0
            if is_checked and (violation := find_liveness_violation(state)):
                return result.fail(violation, trace)
            continue
        for move, after in moves(state):
            result.transitions += 1
            result.moves[move.split()[-1]] += 1
            violation = check(state, after)
            if violation:
                return result.fail(violation, Trace(move, trace))
            key = after.key()
            if key not in visited:
                visited.add(key)
                result.states += 1
                result.deepest = max(result.deepest, level + 1)
                queue.append((after, level + 1, Trace(move, trace)))
    return result


def _move_list(trace: Trace | None) -> list[str]:
    descriptions = []
    while trace is not None:
        descriptions.append(trace.move)
        trace = trace.before
    return descriptions[::-1]


def find_safety_violation(before: State, after: State) -> str:
    """Return the safety invariant that a move violated, "" if none.

    The invariants: no incarnation decreases; a refuted suspicion never leads to a death; no member is
    declared dead without a suspicion, sooner than the minimum suspicion time after it, by an instance that
    has just resumed, or by one whose view has not settled.
    """
    for name, machine in after.machines.items():
        old_machine = before.machines[name]
        if machine is old_machine:
            continue
        incarnation = machine.self_update.incarnation
        old_incarnation = old_machine.self_update.incarnation
        if incarnation < old_incarnation and machine.generation == old_machine.generation:
            return f"{name}: its own incarnation decreased"
        for subject, member in machine.members.items():
            old_member = old_machine.members.get(subject)
            if old_member is None:
                continue
            new_version = member.update.generation, member.update.incarnation
            if new_version < (old_member.update.generation, old_member.update.incarnation):
                return f"{name}: the incarnation of {subject} decreased"
            was_alive = old_member.update.status is not MemberStatus.DEAD
            if member.update.status is MemberStatus.DEAD and was_alive:
                violation = _find_unsafe_death(before, after, machine, subject, old_member)
                if violation:
                    return violation
    return ""


def _find_unsafe_death(
    before: State, after: State, machine: MembershipProtocol, subject: str, old_member: Member
) -> str:
    name = machine.name
    config = machine.config
    declaration = f"{name} declared {subject} dead"
    lateness = after.now - before.machines[name].timer_due
    if before.stopped == name and lateness > config.late_timer_ratio * config.period:
        return f"{declaration} as it resumed"
    if old_member.update.status is not MemberStatus.SUSPECT:
        return f"{declaration} without a suspicion"
    if machine.members[subject].update.incarnation != old_member.update.incarnation:
        return f"{declaration} on a refuted suspicion"
    suspicion = after.now - old_member.suspected_at
    if suspicion < round(config.suspicion_multiplier * config.period):
        return f"{declaration} {suspicion} us after it was suspected"
    if after.now < machine.unsettled_until:
        return f"{declaration} before its view had settled"
    return ""


def find_liveness_violation(state: State, max_moves: int = MAX_SETTLE_MOVES) -> str:
    """Return the violation of the liveness invariant, "" if it holds.

    Without further faults, all instances reach the same stable view with all instances in it.
    """
    state = state.copy()
    state.losses_left = 0
    state.stops_left = 0
    for _ in range(max_moves):
        if state.in_transit:
            datagram, *remaining = state.in_transit
            state.in_transit = tuple(remaining)
            if datagram.target != state.stopped:
                state.deliver(datagram)
            continue
        fire_timer(state, *next_timer(state))
        views = [machine.view(state.now) for machine in state.machines.values()]
        are_complete = all(view.stable and len(view.members) == len(views) for view in views)
        if not state.in_transit and are_complete:
            return "" if len({view.checksum for view in views}) == 1 else "the settled views differ"
    return f"not settled after {max_moves} moves"
