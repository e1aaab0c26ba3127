"""Plays a fleet's script on the modelled network."""

from random import Random

from dahliabend.membership import codec
from dahliabend.membership.codec import encode_update
from dahliabend.membership.messages import Ping
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.ground_truth import Truth
from dahliabend.simulation.cluster.invariants import Bounds, Claim, Outcome, judge
from dahliabend.simulation.cluster.script import WAYS, Fleet, S, Step
from dahliabend.simulation.cluster.town import SOON, Town

LOOK = 4  # looks a period at whether a condition holds


class Player:
    """The schedule, what was so and what was claimed; what acts is below it, a model or real processes."""

    def __init__(self, fleet: Fleet, terms: SwimConfig) -> None:
        self.fleet, self.terms = fleet, terms
        self.truth, self.claims, self.outcome = Truth(fleet.instances), [], Outcome()
        self.ways: list[Step] = []  # in force

    def cuts(self) -> set[tuple[int, int]]:
        everyone = range(self.fleet.instances)
        found = set()
        for step in self.ways:
            if step.what == "cut":
                found |= {(a, b) for a in step.whom for b in step.to or everyone if a != b}
            elif step.what == "split":
                part = {number: at for at, numbers in enumerate(step.parts) for number in numbers}
                found |= {(a, b) for a in part for b in part if part[a] != part[b]}
        return found

    def strongest(self, what: str) -> Step | None:
        steps = [step for step in self.ways if step.what == what]
        return max(steps, key=lambda step: (step.size, step.delay), default=None)

    def line(self, now: int, text: str) -> None:
        if len(self.outcome.lines) < 100_000:
            self.outcome.lines.append(f"{now / 1e6:12.3f}  {text}")


class Model(Player):
    def __init__(self, fleet: Fleet, terms: SwimConfig | None = None, warm: bool = False) -> None:
        super().__init__(fleet, terms or SwimConfig(period=fleet.period))
        self.town = Town(0, fleet.seed, terms=self.terms, begin=False)
        self.town.delay = (max(1, fleet.delay // 2), max(2, fleet.delay * 3 // 2)) if fleet.delay else SOON
        self.town.heard = self.heard
        self.usual = self.town.delay
        self.lives = [0] * fleet.instances
        self.gone: dict[int, MembershipProtocol] = {}
        self.undo: list[tuple[int, Step]] = []
        self.warm = warm

    @property
    def now(self) -> int:
        return self.town.now

    def heard(self, name: str, machine: MembershipProtocol) -> None:
        who = int(name[1:])
        events = machine.take_events()
        for event in events:
            about = int(event.name[1:]) if event.name[1:].isdigit() else -1
            self.claims.append(Claim(self.now, who, event.kind, about, event.reported_by))
            self.line(self.now, f"{name}: {event.name} {event.kind}, by {event.reported_by}")

    def play(self) -> Outcome:
        fleet = self.fleet
        for number in range(fleet.instances):
            if number not in fleet.late:
                self.start(number)
        if self.warm:
            self.know_all()
        for step in fleet.steps:
            self.act(step)
            self.run(step.wait)
            self.until(step)
        judge(self.truth, self.claims, self.terms, self.now, self.outcome)
        return self.outcome

    def know_all(self) -> None:
        """As after a long time: everybody knows everybody, and nothing is news."""
        machines = list(self.town.machines.values())
        updates = [machine.self_update for machine in machines]
        encoded = {update.name: encode_update(update) for update in updates}
        for machine in machines:
            machine.assume_members(self.now, updates, encoded)
        self.town.mail.clear()

    def start(self, number: int, state: dict | None = None) -> None:
        self.lives[number] += 1
        self.truth.start(self.now, number)
        seeds = [f"b{seed}" for seed in self.fleet.seeds]
        self.town.begin(f"b{number}", self.lives[number], seeds, state, f"z{number % self.fleet.zones}")

    def end(self, number: int) -> MembershipProtocol | None:
        self.truth.end(self.now, number)
        return self.town.end(f"b{number}")

    def act(self, step: Step) -> None:
        town, truth = self.town, self.truth
        self.line(self.now, f"STEP {step.what} {step.whom or step.parts or ''}")
        if step.what == "mend":
            for _, other in self.undo:
                self.over(other)
            self.undo.clear()
            self.ways.clear()
            self.set_ways()
        elif step.what in WAYS:
            self.ways.append(step)
            self.set_ways()
        elif step.what == "strangers":
            self.strangers()
        for number in step.whom if step.what not in WAYS else ():
            name = f"b{number}"
            there = name in town.machines
            if step.what == "start":
                if not there:
                    self.start(number)
            elif not there:
                continue
            elif step.what == "kill":
                self.end(number)
            elif step.what == "restart":
                self.end(number)
                self.start(number)
            elif step.what in ("stop", "block"):
                truth.stop(self.now, number)
                town.pause(name, 10**15)
            elif step.what == "leave":
                town.machines[name].leave(self.now)
                town.carry(name)
                self.end(number)
            elif step.what == "hand":
                machine = self.end(number)
                self.lives[number] -= 1
                self.start(number, machine.snapshot())
        if step.span and step.what not in ("calm", "mend"):
            self.undo.append((self.now + step.span, step))
            self.undo.sort(key=lambda entry: entry[0])

    def over(self, step: Step) -> None:
        if step in self.ways:
            self.ways.remove(step)
            self.set_ways()
        for number in step.whom if step.what not in WAYS else ():
            name = f"b{number}"
            if step.what in ("stop", "block") and self.town.away.get(name, 0) > self.now:
                self.town.away[name] = self.now
                machine = self.town.machines[name]
                machine.timer_fired(self.now)
                self.town.carry(name)
                self.truth.go_on(self.now, number)
            elif step.what in ("kill", "leave") and name not in self.town.machines:
                self.start(number)

    def set_ways(self) -> None:
        cuts = self.cuts()
        self.town.cut = {(f"b{a}", f"b{b}") for a, b in cuts}
        if cuts != self.truth.cut:
            self.truth.ways(self.now, cuts)
        lose, delay, twice = (self.strongest(what) for what in ("lose", "delay", "double"))
        self.town.loss = lose.size if lose else 0.0
        self.town.twice = twice.size if twice else 0.0
        self.town.delay = (self.usual[0], self.usual[1] + delay.delay) if delay else self.usual

    def strangers(self) -> None:
        """What no member has said, or has said before."""
        chance = Random(f"strangers {self.fleet.seed} {self.now}")
        for name, machine in list(self.town.machines.items()):
            for _ in range(20):
                junk = chance.randbytes(chance.choice((0, 1, 40, 1_400, 9_000)))
                machine.receive_datagram(self.now, junk, "b0")
            data, _ = codec.encode_packet("b0", 1, 1, Ping(1, name), [])
            machine.receive_datagram(self.now, data, "b0")
            self.town.carry(name)

    def run(self, span: int) -> None:
        end = self.now + span
        while self.undo and self.undo[0][0] <= end:
            at, step = self.undo.pop(0)
            self.town.run(max(0, at - self.now))
            self.over(step)
        self.town.run(max(0, end - self.now))

    def until(self, step: Step) -> None:
        if not step.until:
            return
        bounds = Bounds(self.terms, self.fleet.instances, self.fleet.instances)
        limit = self.now + (step.within or (bounds.detect if step.until == "out" else bounds.agree))
        while not self.holds(step):
            if self.now >= limit:
                views = {name: sorted(self.town.sees(name)) for name in self.awake()}
                return self.outcome.broken(step.until, self.now, f"not within its time: {views}"[:400])
            self.run(self.terms.period // LOOK)

    def awake(self) -> list[str]:
        return [name for name in self.town.machines if self.town.away.get(name, 0) <= self.now]

    def holds(self, step: Step) -> bool:
        awake = self.awake()
        if step.until == "believed":
            return True  # nothing is asked of upstreams here
        if step.until == "out":
            gone = {f"b{number}" for number in step.whom}
            return all(not gone & self.town.sees(name) for name in awake if name not in gone)
        views = [self.town.machines[name].view(self.now) for name in awake]
        wanted = set(self.town.machines)
        return all(view.stable and view.names() == wanted for view in views) and (
            len({view.checksum for view in views}) <= 1
        )


def play(fleet: Fleet, terms: SwimConfig | None = None, warm: bool = False) -> Outcome:
    return Model(fleet, terms, warm).play()


__all__ = ["Model", "Player", "S", "play"]
