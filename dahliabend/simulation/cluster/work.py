"""A fleet of balancers at work on the modelled network: the real decisions, one set for each balancer, and
the real membership and subsets, over modelled upstreams, with transactions that come whether or not they are
answered. One seed gives the same arrivals with subsets and without: runs are compared in pairs.

A second of 40 balancers, 60 upstreams and 330 transactions takes some 60 ms. Bytes are not modelled: what the
network code does with them is `dahliabend emulate`'s to play.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from dahliabend.health_gossip.gossip import GOSSIP_INTERVAL, HealthGossip
from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts
from dahliabend.leases.leased_health_checks import LeasedHealthChecks
from dahliabend.membership.failure_detector import MembershipProtocol, SwimConfig
from dahliabend.model import DeduplicationScope, Effect, EndpointState, Outcome, RequestClass, Settings
from dahliabend.policy.balancer import Balancer
from dahliabend.policy.retries import RequestState
from dahliabend.simulation.cluster.model import Model
from dahliabend.simulation.cluster.nodes import Kind, Node
from dahliabend.simulation.cluster.script import Fleet, S
from dahliabend.subsetting.controller import SubsetController
from dahliabend.subsetting.demand import UNKNOWN_DEMAND, DemandEstimator
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetSettings
from dahliabend.subsetting.usable_endpoints import count_usable

MS = 1_000
LOOK = 250 * MS  # how often a subset is looked at, as in a pool
WAY = 1 * MS  # of a message to an upstream, or back
SHAKE = 3 * MS  # a connection's opening
DIAL = 250 * MS  # until one that does not answer is given up
REST = 15 * S  # idle connections are closed after that
LIST = 200 * MS, 1_500 * MS  # a change of the list is heard after
NOTICED = 1 * S  # until callers come no more to a balancer that is gone
SEEN = S  # a line of figures for each
GOAL, LIMIT = 1_500 * MS, 3 * S
PROFILES = (
    RequestClass(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, GOAL, LIMIT, 1.0, 0.0),
    RequestClass(Effect.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, GOAL, LIMIT, 2.0, 0.0),
)
POOL = "main"
SUBMITS = 0.3  # of the transactions


@dataclass(slots=True)
class Figures:
    """What came of a run. Times are microseconds."""

    counts: Counter[str] = field(default_factory=Counter)
    took: list[int] = field(default_factory=list)  # of those served
    seconds: list[dict] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    links: list[float] = field(default_factory=list)  # each second: connections an upstream, in the mean
    most_links: int = 0

    @property
    def share(self) -> float:
        """Served within the goal, of all that was asked."""
        return self.counts["served"] / max(1, self.counts["asked"])


class Asked:
    __slots__ = ("answered", "at", "effects", "handle", "hops", "profile")

    def __init__(self, at: int, profile: int) -> None:
        self.at, self.profile, self.answered, self.effects = at, profile, False, 0
        self.handle: RequestState | None = None
        self.hops: list[list] = []  # node, sent, over


class Copy:
    """One balancer's process: its decisions, and the port through which they act."""

    def __init__(self, work: "Work", number: int, life: int) -> None:
        self.work, self.number, self.alive = work, number, True
        self.rows: dict[str, tuple] = {}  # the list as it knows it, by name
        self.held: dict[int, Asked] = {}
        self.next = self.taken = 0
        self.links: dict[int, list[int]] = {}  # by upstream: since when each connection rests
        self.busy: Counter[int] = Counter()
        self.balancer = Balancer(work.settings(), self, seed=hash((work.fleet.seed, number, life)))
        self.keeper: SubsetController | None = None
        self.weights: dict[str, float] = {}
        self.demand = DemandEstimator() if work.demand else None
        self.gossip: HealthGossip | None = None
        if work.signals:
            chance = Random(f"signals {work.fleet.seed} {number} {life}")
            self.gossip = (
                Liar(work, number, life, chance)
                if number in work.liars
                else HealthGossip(f"b{number}", life, chance)
            )
        self.shared: LeasedHealthChecks | None = None
        if work.probing:
            self.shared = LeasedHealthChecks(f"b{number}", work.probing, self.look_at, lambda *_, **__: None)
            self.gossip.leases, self.gossip.on_lease = (
                self.shared.election.announcements,
                self.shared.apply_announcement,
            )
        if work.subset is not None:
            self.keeper = SubsetController(work.party(number), work.subset)

    # The port.

    def send(self, ref: int, upstream: int, timeout: int) -> None:
        work, asked = self.work, self.held[ref]
        node, now = work.nodes[upstream], work.now
        hop = [node, now, False]
        asked.hops.append(hop)
        number = len(asked.hops) - 1
        work.counts["hops"] += 1
        resting = self.links.setdefault(upstream, [])
        way = WAY
        while resting and now - resting[0] > REST:
            resting.pop(0)
        if resting:
            resting.pop()
        else:
            work.counts["shakes"] += 1
            way += SHAKE
        self.busy[upstream] += 1
        work.at(now + timeout, self.ended, ref, number, Outcome.TIMED_OUT)
        if node.gone and node.silent:
            return work.at(now + DIAL, self.ended, ref, number, Outcome.UNREACHABLE)
        work.at(now + way, self.arrived, ref, number)

    def arrived(self, ref: int, number: int) -> None:
        asked = self.held.get(ref)
        if asked is None or asked.hops[number][2]:
            return
        node, work = asked.hops[number][0], self.work
        outcome, when = node.arrived(work.now, self.number)
        if outcome is Outcome.SUCCEEDED:
            asked.effects += 1
            if asked.effects > 1 and PROFILES[asked.profile].effect is Effect.NON_IDEMPOTENT:
                work.figures.broken.append(f"{work.now / 1e6:.3f} s: no effect twice: at {node.name}")
            work.at(when, self.worked, node)
        if outcome is not None:
            work.at(when + WAY, self.ended, ref, number, outcome)

    def worked(self, node: Node) -> None:
        node.inside -= not node.gone

    def ended(self, ref: int, number: int, outcome: Outcome) -> None:
        asked, work = self.held.get(ref), self.work
        if asked is None or asked.hops[number][2] or not self.alive:
            return
        node, sent, _ = asked.hops[number]
        if node.gone and outcome is Outcome.SUCCEEDED:
            outcome = Outcome.RESET
        asked.hops[number][2] = True
        self.busy[node.index] -= 1
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED) and node.index in self.links:
            self.links[node.index].append(work.now)  # else it has left the list, or the subset, meanwhile
        if self.gossip is not None:
            self.gossip.record_outcome(work.now, POOL, node.name, outcome)
        if outcome is Outcome.SUCCEEDED and not asked.answered:
            self.answer(asked, "served" if work.now - asked.at <= GOAL else "late")
        if asked.handle is not None:
            asked.handle.attempt_finished(work.now, number, outcome, work.now - sent, asked.answered)
            if asked.handle.is_finished:
                self.held.pop(ref, None)

    def answer(self, asked: Asked, how: str) -> None:
        if asked.answered:
            return self.work.figures.broken.append(f"{self.work.now / 1e6:.3f} s: a second answer")
        asked.answered = True
        work = self.work
        if asked.at < work.settle:
            return
        work.counts[how] += 1
        if how == "served":
            work.figures.took.append(work.now - asked.at)

    def reject(self, ref: int, retry_after: int) -> None:
        self.answer(self.held[ref], "rolled back")

    def fail(self, ref: int) -> None:
        self.answer(self.held[ref], "abandoned")

    def cancel(self, ref: int, hop: int) -> None:
        if not self.held[ref].hops[hop][2]:
            self.work.at(self.work.now, self.ended, ref, hop, Outcome.CANCELLED)

    def check_health(self, upstream: int) -> None:
        name, shared = self.work.nodes[upstream].name, self.shared

        def told(_: int, outcome: Outcome) -> None:
            self.probed(upstream, outcome)

        if shared is None or not shared.request_check(self.work.now, name, told):
            self.sound(upstream, told)

    def look_at(self, duty: str, told: Callable) -> None:
        node = self.work.places.get(duty)
        if node is not None:
            self.sound(node.index, told)

    def sound(self, upstream: int, told: Callable) -> None:
        work, node = self.work, self.work.nodes[upstream]
        work.counts["probes"] += 1
        silent = node.hung or node.gone or self.number in node.deaf_to
        outcome = Outcome.TIMED_OUT if silent else Outcome.FAILED if node.failing > 0.5 else Outcome.SUCCEEDED
        work.at(work.now + (2 * DIAL if silent else 2 * WAY), self.sounded, told, outcome)

    def sounded(self, told: Callable, outcome: Outcome) -> None:
        if self.alive:
            told(self.work.now, outcome)

    def probed(self, upstream: int, outcome: Outcome) -> None:
        if self.alive:
            self.balancer.health_check_finished(self.work.now, upstream, outcome)

    def close_idle_connections(self, upstream: int, age: int) -> None:
        resting = self.links.get(upstream, [])
        self.links[upstream] = [since for since in resting if self.work.now - since < age]

    def set_timer(self, at: int, token: int) -> None:
        self.work.at(at, self.woken, token)

    def woken(self, token: int) -> None:
        if self.alive:
            self.balancer.timer_fired(self.work.now, token)

    def poll_endpoints(self) -> None: ...
    def send_to_peer(self, peer: int, payload: bytes) -> None: ...

    # What comes.

    def take(self, profile: int) -> None:
        work = self.work
        asked = Asked(work.now, profile)
        self.taken += 1
        ref = self.next
        self.next += 1
        self.held[ref] = asked
        asked.handle = handle = self.balancer.admit(work.now, ref, profile, 0, work.now + LIMIT)
        if handle.is_finished:
            self.held.pop(ref, None)

    def listed(self, changed: dict[str, tuple]) -> None:
        if not self.alive:
            return
        self.rows.update(changed)
        self.rows = {name: row for name, row in self.rows.items() if row[1] is not EndpointState.REMOVED}
        if self.keeper is not None:
            self.keeper.update_upstreams(
                self.work.now,
                [
                    Participant(name, self.work.zone_names[row[5]], row[3])
                    for name, row in self.rows.items()
                    if row[1] is EndpointState.READY
                ],
            )
            self.move()
        self.tell_rows()

    def look(self) -> None:
        if not self.alive or self.keeper is None:
            return
        work, machine = self.work, self.work.machine(self.number)
        work.at(work.now + LOOK, self.look)
        weight = self.demand and self.demand.update(work.now, self.taken)
        if weight and machine is not None:
            machine.update_self(work.now, weight=weight)
        if self.move():
            self.tell_rows()

    def gossips(self) -> None:
        """A beat of signals: what the others told is believed or not, and its own goes out."""
        work, gossip, machine = self.work, self.gossip, self.work.machine(self.number)
        if not self.alive:
            return
        work.at(work.now + GOSSIP_INTERVAL, self.gossips)
        members = machine.view(work.now).names()
        indices = {
            work.nodes[u.index].name: u.index for u in self.balancer.selection.ready if not u.is_ejected
        }

        def told(name: str, tried: int, bad: int) -> None:
            work.counts["believed"] += 1
            self.balancer.add_peer_report(indices[name], tried, bad)

        gossip.report_suspected(work.now, POOL, set(indices), members, told)
        if self.shared is not None:
            settled = machine.last_stable_view(work.now)
            rows = [(m.name, m.zone) for m in settled.members if m.state != "unreached"] if settled else ()
            duties = {name: "" for name, row in self.rows.items() if row[1] is EndpointState.READY}
            self.shared.tick(work.now, rows, bool(rows) and work.now >= machine.unsettled_until, duties)
        gossip.tick(work.now, sorted(members))
        out, gossip.outbox = gossip.outbox, []
        for name, data in out:
            work.counts["signal bytes"] += len(data)
            town = work.town
            if (machine.name, name) not in town.cut and work.luck.random() >= town.loss:
                work.at(work.now + WAY, work.told, int(name[1:]), data)

    def move(self) -> bool:
        work, keeper = self.work, self.keeper
        machine = work.machine(self.number)
        if machine is not None and (settled := machine.last_stable_view(work.now)) is not None:
            keeper.follow_membership(work.now, settled, machine.view(work.now))
        if self.weights:
            balancer = self.balancer
            usable = count_usable(
                balancer.selection.ready,
                balancer.outliers.last_answer_at,
                balancer.throttling.window,
                work.now,
            )
            keeper.adjust_width(usable)
        made = keeper.step(work.now)
        if made is None:
            return False
        work.counts["moved"] += len(made.added) + len(made.dropped)
        self.weights = made.weights
        self.balancer.selection.instance_count = made.balancers_per_upstream
        return True

    def tell_rows(self) -> None:
        rows = list(self.rows.values())
        if self.keeper is not None:
            rows, known = [], self.balancer.selection.endpoints
            for name, row in self.rows.items():
                weight = self.weights.get(name)
                if weight is not None:
                    rows.append((*row[:3], weight, *row[4:]))
                elif row[1] is not EndpointState.READY and row[0] in known:
                    rows.append(row)
        self.balancer.update_endpoints(self.work.now, rows, full=True)
        for index in [index for index in self.links if index not in self.balancer.selection.endpoints]:
            del self.links[index]


class Liar(HealthGossip):
    """One that tells what is not so: `dead` (all fail), `well` (nothing does), `old` (its first report for
    ever, as new)."""

    def __init__(self, work: "Work", number: int, life: int, chance: Random) -> None:
        super().__init__(f"b{number}", life, chance)
        self.work, self.how = work, work.liars[number]
        self.first: list[UpstreamCounts] = []

    def report(self, now: int) -> HealthReport:
        made = super().report(now)
        self.first = self.first or made.counts
        bad = 3 if self.how == "dead" else 0
        rows = [UpstreamCounts(POOL, name, 3, bad) for name in sorted(self.work.places)][:40]
        return HealthReport(
            made.origin, made.generation, made.sequence, 0, 0, self.first if self.how == "old" else rows
        )


class Work(Model):
    """As the model, at work. `subset` None: each uses all, and there is no membership."""

    def __init__(
        self,
        fleet: Fleet,
        upstreams: int = 60,
        rate: float = 330.0,
        subset: SubsetSettings | None = None,
        kind: Kind | None = None,
        members: SwimConfig | None = None,
        zones: int = 1,
        demand: bool = False,
        signals: bool = False,
        liars: dict[int, str] | None = None,
        probing: int = 0,
    ) -> None:
        """`signals`: balancers tell each other of upstreams, `liars` of them what is not so. `demand`: they
        tell the others how much they are asked. `heavy` of the balancers' callers go
        to the first one where it is set, else all to all alike."""
        super().__init__(fleet, members)
        self.kind, self.rate, self.subset = kind or Kind(), rate, subset
        self.demand, self.heavy = demand, 0.0
        self.signals, self.liars, self.probing = signals, liars or {}, probing
        self.zone_names = [f"z{n}" for n in range(zones)]
        self.figures, self.clock = Figures(), S
        self.counts = self.figures.counts
        self.arrivals, self.luck = Random(f"arrivals {fleet.seed}"), Random(f"nodes {fleet.seed}")
        self.events: list[tuple] = []
        self.order = 0
        self.nodes: list[Node] = []  # all there ever were, by index
        self.places: dict[str, Node] = {}  # by name: the process that is there now
        self.copies: dict[int, Copy] = {}
        self.front: list[int] = []  # balancers that callers come to
        self.settle, self.finished = 0, False  # what was asked before that is not counted
        for number in range(upstreams):
            self.bring_up(f"u{number}", born=0)

    # One clock over the transactions and the members: these move on between two looks.

    @property
    def now(self) -> int:
        return self.clock

    def at(self, when: int, call: Callable, *given) -> None:
        self.order += 1
        heappush(self.events, (when, self.order, call, given))

    def run(self, span: int) -> None:
        end, events = self.clock + span, self.events
        while self.clock < end:
            until = min(self.clock + LOOK, end)
            while events and events[0][0] < until:
                self.clock, _, call, given = heappop(events)
                call(*given)
            self.clock = until
            while self.undo and self.undo[0][0] <= until:
                self.over(self.undo.pop(0)[1])
            if (
                self.subset is not None or self.signals
            ):  # else nobody listens to the members: they stand still
                self.town.run(max(0, until - self.town.now))

    def machine(self, number: int) -> MembershipProtocol | None:
        return self.town.machines.get(f"b{number}")

    # Balancers.

    def settings(self) -> Settings:
        kind = self.kind
        return Settings(
            instance_count=self.fleet.instances,
            instance_index=-1,
            tier=0,
            zone=0,
            request_classes=PROFILES,
            tenant_quotas=(),
            over_quota_weight=1.0,
            overall_weight=1.0,
            worst_class_weight=0.0,
            cross_zone_cost=0.0,
            max_attempts=3,
            can_cancel=True,
            can_health_check=True,
            sends_retry_after=True,
            max_retry_after=3 * S,
            polls_endpoints=False,
            poll_deadline=0,
            initial_capacity=kind.cold_share,
            warmup_time=kind.cold,
            warmup_multiple=kind.fall_multiple,
        )

    def party(self, number: int) -> Participant:
        return Participant(f"b{number}", self.zone_of(number))

    def zone_of(self, number: int) -> str:
        return self.zone_names[number % len(self.zone_names)]

    def begin(self) -> None:
        """The whole fleet, everybody knowing everybody; then the callers come."""
        for number in range(self.fleet.instances):
            self.start(number)
        if self.subset is not None or self.signals:
            self.know_all()
        self.at(self.clock, self.come)
        self.at(self.clock, self.note)

    def start(self, number: int, state: dict | None = None) -> None:
        super().start(number, state)
        if self.demand:
            self.town.machines[f"b{number}"].update_self(self.clock, weight=UNKNOWN_DEMAND)
        copy = self.copies[number] = Copy(self, number, self.lives[number])
        copy.listed({name: self.row(node) for name, node in self.places.items()})
        copy.look()
        if copy.gossip is not None:
            self.at(self.clock + self.luck.randrange(GOSSIP_INTERVAL), copy.gossips)
        self.front.append(number)

    def end(self, number: int) -> MembershipProtocol | None:
        copy = self.copies.pop(number)
        copy.alive = False
        self.counts["lost"] += sum(
            not asked.answered and asked.at >= self.settle for asked in copy.held.values()
        )
        self.at(self.clock + NOTICED, self.noticed, number)
        return super().end(number)

    def told(self, number: int, data: bytes) -> None:
        copy = self.copies.get(number)
        if copy is not None and copy.gossip is not None:
            copy.gossip.receive(self.clock, data)

    def noticed(self, number: int) -> None:
        if number not in self.copies:
            self.front = [other for other in self.front if other != number]

    # Upstreams.

    def row(self, node: Node) -> tuple:
        zone = self.zone_names.index(node.zone)
        return node.index, node.state, node.born, 1.0, 0, zone, node.name.encode()

    def bring_up(self, name: str, born: int | None = None) -> Node:
        number = int(name[1:])
        born = self.clock if born is None else born
        node = Node(
            len(self.nodes),
            name,
            self.zone_of(number),
            self.kind,
            born,
            Random(f"{self.fleet.seed} {name} {born}"),
        )
        self.nodes.append(node)
        self.places[name] = node
        self.announce(node)
        return node

    def announce(self, node: Node) -> None:
        """Each balancer hears it after a while of its own."""
        row = self.row(node)
        for copy in self.copies.values():
            self.at(self.clock + self.luck.randint(*LIST), copy.listed, {node.name: row})

    def drain(self, name: str) -> None:
        """It is listed as draining, and gone 3 s later."""
        node = self.places[name]
        node.state = EndpointState.DRAINING
        self.announce(node)
        self.at(self.clock + 3 * S, self.take_down, node)

    def take_down(self, node: Node, silent: bool = False, told: bool = True) -> None:
        """Its process ends: what it had is lost; `silent`: its machine too, nothing says so."""
        node.end(self.clock)
        node.state, node.silent = EndpointState.REMOVED, silent
        if self.places.get(node.name) is node:
            del self.places[node.name]
        if told:
            self.announce(node)

    # Callers.

    def come(self) -> None:
        if self.finished:
            return
        self.at(self.clock + max(1, round(self.arrivals.expovariate(self.rate / S))), self.come)
        drawn = self.arrivals.random()
        number = self.front[int(drawn * len(self.front))] if self.front else -1
        if self.heavy and self.arrivals.random() < self.heavy:
            number = 0
        profile = int(self.arrivals.random() < SUBMITS)
        self.counts["asked"] += 1
        copy = self.copies.get(number)
        if copy is None:
            self.counts["lost"] += 1
        else:
            copy.take(profile)

    def note(self) -> None:
        """A line of figures a second."""
        self.at(self.clock + SEEN, self.note)
        links = Counter[int]()
        for copy in self.copies.values():
            links.update({index: len(resting) for index, resting in copy.links.items()})
            links.update(copy.busy)
        here = [links[node.index] for node in self.places.values()]
        self.figures.links.append(sum(here) / max(1, len(here)))
        self.figures.most_links = max(self.figures.most_links, max(here, default=0))
        self.figures.seconds.append({"at": self.clock, **self.counts})

    def finish(self) -> None:
        """Callers come no more, and those that are there get their answers."""
        self.finished = True
        self.run(LIMIT + S)
        self.counts["fallen"] = sum(node.fallen for node in self.nodes)

    def forget(self) -> None:
        """What was counted until now was the start."""
        self.settle = self.clock
        self.counts.clear()
        self.figures.took.clear()
        self.figures.links.clear()
        self.figures.seconds.clear()
        self.figures.most_links = 0


def names(numbers: Iterable[int]) -> list[str]:
    return [f"u{number}" for number in numbers]
