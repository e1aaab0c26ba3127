"""All interleavings of a few real machines, to a stated depth: an explicit-state search.

A state is the machines, the datagrams on their way, the time, and how many faults are left. A move delivers
one datagram (any of those on their way: they overtake each other), loses one, lets time go on to the next
waking, or stops a machine for a while. Two states that differ only in their history are one.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from copy import copy
from dataclasses import dataclass, field
from random import Random

from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig

Letter = tuple[str, str, bytes]  # source, target, datagram


class Fixed(Random):
    """Chance that is the same in each state: what it decides is not what is searched."""

    def randrange(self, start, stop=None, step=1) -> int:
        return 0 if stop is None else start

    def getrandbits(self, bits: int) -> int:
        return 0

    def shuffle(self, items) -> None:
        items.sort()

    def sample(self, items, count, **_) -> list:
        return sorted(items)[:count]


def clone(machine: MembershipProtocol) -> MembershipProtocol:
    """One that can go another way from here."""
    return machine.duplicate()


def essence(machine: MembershipProtocol) -> tuple:
    """What its future depends on: not its events, nor how often something was refused."""
    return machine.state_key()


@dataclass(slots=True)
class State:
    """Machines are shared with other states: one that acts is cloned first."""

    machines: dict[str, MembershipProtocol]
    essences: dict[str, int]
    mail: tuple[Letter, ...]  # sorted
    now: int
    losses: int  # that may still happen
    pauses: int
    pause: int  # how long one is
    stopped: str = ""
    until: int = 0

    def copy(self) -> "State":
        made = copy(self)
        made.machines, made.essences = self.machines.copy(), self.essences.copy()
        return made

    def act(self, name: str) -> MembershipProtocol:
        made = self.machines[name] = clone(self.machines[name])
        return made

    def carry(self, name: str) -> None:
        """Takes what a machine has left on its way."""
        machine = self.machines[name]
        out = machine.take_outgoing()
        sent = [(name, target, data) for target, data in out if target in self.machines]
        self.mail = tuple(sorted((*self.mail, *sent)))
        self.essences[name] = hash(essence(machine))

    def key(self) -> tuple:
        ways = tuple(map(hash, self.mail))
        return (*self.essences.values(), ways, self.now, self.losses, self.pauses, self.stopped, self.until)


@dataclass(slots=True)
class Found:
    states: int = 0
    transitions: int = 0
    quiet: int = 0  # states of the last depth
    deepest: int = 0
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    moves: Counter[str] = field(default_factory=Counter)


def begin(
    terms: SwimConfig,
    count: int = 3,
    losses: int = 1,
    pauses: int = 1,
    make=MembershipProtocol,
    suspected: bool = False,
) -> State:
    """A fleet that knows itself, just before its first beats, which come one after the other; or just after
    the first has come to suspect the second."""
    machines = {f"b{n}": make(f"b{n}", 1, f"b{n}", terms, Fixed(0)) for n in range(count)}
    now = 1_000_000_000
    state = State(machines, {}, (), now, losses, pauses, terms.period * 5 // 4)
    for number, machine in enumerate(machines.values()):
        updates = [other.self_update for other in machines.values()]
        machine.start_with_members(now, updates, first_period_at=now + 1 + number * terms.period // count)
        state.carry(machine.name)
    if suspected:
        machines["b0"].suspect_member(now, "b1")
        machines["b0"].timer_fired(now + 1)
        state.carry("b0")
    return state


def moves(state: State) -> Iterator[tuple[str, State]]:
    for place, letter in enumerate(state.mail):
        if place and letter == state.mail[place - 1]:
            continue
        source, target, data = letter
        left = state.mail[:place] + state.mail[place + 1 :]
        if target != state.stopped:
            after = state.copy()
            after.mail = left
            after.act(target).receive_datagram(after.now, data, source)
            after.carry(target)
            yield f"{source} -> {target} comes", after
        if state.losses:
            after = state.copy()
            after.mail, after.losses = left, state.losses - 1
            yield f"{source} -> {target} is lost", after
    name, at = next_waking(state)
    after = state.copy()
    wake(after, name, at)
    yield f"{name} wakes", after
    if state.pauses and not state.stopped:
        for name in state.machines:
            after = state.copy()
            after.pauses -= 1
            after.stopped, after.until = name, state.now + state.pause
            yield f"{name} is stopped", after


def next_waking(state: State) -> tuple[str, int]:
    due = {name: m.timer_due for name, m in state.machines.items() if name != state.stopped}
    if state.stopped:
        due[state.stopped] = max(state.until, state.machines[state.stopped].timer_due)
    name = min(due, key=lambda name: (due[name], name))
    return name, due[name]


def wake(state: State, name: str, at: int) -> None:
    """Also of one that was stopped: it goes on."""
    state.now = max(state.now, at)
    if name == state.stopped:
        state.stopped = ""
    state.act(name).timer_fired(state.now)
    state.carry(name)


def search(
    start: State, depth: int, check: Callable[[State, State], str], most: int = 200_000, rests: int = 0
) -> Found:
    """Breadth first: the first violation has a shortest trace. `check` is told the state before and after.
    Every so many states of the last depth, `rests`, are left alone, and have to come to one view."""
    found = Found(states=1)
    known = {start.key()}
    waiting: deque[tuple[State, int, tuple]] = deque([(start, 0, ())])
    while waiting and found.states < most:
        state, at, trace = waiting.popleft()
        if at == depth:
            found.quiet += 1
            if rests and found.quiet % rests == 0 and (said := agreed(state)):
                found.violation, found.trace = said, unfold(trace)
                return found
            continue
        for name, after in moves(state):
            found.transitions += 1
            found.moves[name.split()[-1]] += 1
            said = check(state, after)
            if said:
                found.violation, found.trace = said, unfold((name, trace))
                return found
            key = after.key()
            if key not in known:
                known.add(key)
                found.states += 1
                found.deepest = max(found.deepest, at + 1)
                waiting.append((after, at + 1, (name, trace)))
    return found


def unfold(trace: tuple) -> list[str]:
    steps = []
    while trace:
        name, trace = trace
        steps.append(name)
    return steps[::-1]


def sound(before: State, after: State) -> str:
    """No incarnation goes backwards, here or in what is known; a refuted suspicion never kills; nobody is
    buried without the whole of a suspicion, nor by one that has just woken."""
    for name, machine in after.machines.items():
        was = before.machines[name]
        if machine is was:
            continue
        if (
            machine.self_update.incarnation < was.self_update.incarnation
            and machine.generation == was.generation
        ):
            return f"{name}: its own incarnation went back"
        for about, member in machine.members.items():
            old, new = was.members.get(about), member.update
            if old is None:
                continue
            if (new.generation, new.incarnation) < (old.update.generation, old.update.incarnation):
                return f"{name}: {about}'s incarnation went back"
            if new.status is MemberStatus.DEAD and old.update.status is not MemberStatus.DEAD:
                if (
                    before.stopped == name
                    and after.now - was.timer_due > machine.config.late_timer_ratio * machine.config.period
                ):
                    return f"{name} buried {about} as it woke"
                if old.update.status is not MemberStatus.SUSPECT:
                    return f"{name} buried {about}, which it had not suspected"
                if new.incarnation != old.update.incarnation:
                    return f"{name} buried {about} by a suspicion that was refuted"
                if after.now - old.suspected_at < round(
                    machine.config.suspicion_multiplier * machine.config.period
                ):
                    return f"{name} buried {about} {after.now - old.suspected_at} us after it was suspected"
                if after.now < machine.unsettled_until:
                    return f"{name} buried {about} before it had asked"
    return ""


def agreed(state: State, rounds: int = 400) -> str:
    """Left alone, with nothing lost any more, all come to one view in which all are."""
    state = state.copy()
    state.losses = state.pauses = 0
    for _ in range(rounds):
        if state.mail:
            (source, target, data), state.mail = state.mail[0], state.mail[1:]
            if target != state.stopped:
                state.act(target).receive_datagram(state.now, data, source)
                state.carry(target)
            continue
        wake(state, *next_waking(state))
        views = [machine.view(state.now) for machine in state.machines.values()]
        if not state.mail and all(view.stable and len(view.members) == len(views) for view in views):
            return "" if len({view.checksum for view in views}) == 1 else "views differ at rest"
    return "no rest was reached"
