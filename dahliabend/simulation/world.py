"""One run: a world built from a scenario, its load and faults played, and what is left checked at the end."""

import asyncio
import gc
import signal
from dataclasses import dataclass, field
from random import Random

import orjson

from dahliabend.config.platform import read_server_settings
from dahliabend.server.platform_server import PlatformServer
from dahliabend.simulation import transports
from dahliabend.simulation.event_loop import EPOCH, START, Kernel, Process, Runaway
from dahliabend.simulation.faults import Faults
from dahliabend.simulation.invariants import Class, Rules, Violation
from dahliabend.simulation.leaks import Remains, weigh
from dahliabend.simulation.network import End, Network, Shape, Socket
from dahliabend.simulation.peers.clients import Ask, Clients, Front
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.peers.upstream import Upstream, UpstreamSpec
from dahliabend.simulation.recorder import HopTap, Witness
from dahliabend.simulation.script import LoadSpec, Scenario
from dahliabend.simulation.stand_ins import Machines

LEAD = 600_000  # microseconds from the balancers' start to the load's
REST = 6_500_000  # after the run, until nothing is to be left of it
LAST = 4_500_000  # for the balancers to end after SIGTERM
POLL = 250_000  # how often the front asks who is ready
SHUT = 3_700_000  # from SIGTERM to SIGKILL at the least
FEW = 16  # balancers up to which cold upstreams bear nothing beyond what is allowed
LATE = 0.25  # of its worth, for an answer after the goal
BODY = 120_000  # bytes of a long body


@dataclass(slots=True)
class Result:
    seed: int
    digest: str
    violations: list[Violation]
    counts: dict[str, int]
    steps: int
    span: int  # virtual microseconds
    faults: list[str]
    lines: list[tuple] = field(default_factory=list)
    worth: float = 0.0  # the share of what was asked that was served, in worth

    @property
    def rules(self) -> list[str]:
        return sorted({violation.rule for violation in self.violations})


class Log:
    """A balancer's log, into the time line."""

    def __init__(self, world: "World", process: str) -> None:
        self.world, self.process, self.verbose = world, process, False

    def __call__(self, event: str, **fields) -> None:
        if event == "listening":
            self.world.witness("listening", self.process)
        if event == "error":
            self.world.witness("crashed", self.process, f"{fields.get('what')}: {fields.get('why')}")
        elif event not in ("hop", "rolled_back", "abandoned", "left", "committed", "figures"):
            said = {key: fields[key] for key in ("why", "version", "kept", "status") if key in fields}
            self.world.witness("log", self.process, event, orjson.dumps(said, default=str).decode())

    def debug(self, event: str, **fields) -> None: ...


def joined(place: tuple[str, int]) -> str:
    return f"{place[0]}:{place[1]}"


class Balancer:
    """One balancer through its processes."""

    def __init__(self, world: "World", name: str, address: str, registry: Registry, tier: int, index: int):
        self.world, self.name, self.address, self.tier, self.index = world, name, address, tier, index
        self.place, self.port = (address, 8080 if not tier else 9080), 8500
        self.starts = 0
        self.process: Process | None = None
        self.program: PlatformServer | None = None
        self.older: list[tuple[Process, PlatformServer]] = []
        self.admin = (address, 9000)
        self.agent_process = Process(world.kernel, f"{name}-agent", address, world.network.zones[address])
        chance = world.chance_of(f"agent {name}")
        notice = world.spec.notice
        self.agent = Agent(registry, self.agent_process.loop, world.witness, chance, notice)
        self.agent.name = name
        world.start(self.agent_process, self.agent.open(address, self.port))
        self.settings = world.settings(tier, index)
        self.extra: dict = {}

    def config(self) -> dict:
        made = {
            "name": self.name, "listen": joined(self.place), "discovery": f"{self.address}:{self.port}",
            "seed": f"{self.world.chance.getrandbits(48):x}", "limits": {"sockets": self.world.spec.sockets},
            "known": self.agent.known(), "settings": self.settings,
        }  # fmt: skip
        return made

    @property
    def path(self) -> str:
        return f"/run/{self.name}.json"

    def write(self, text: bytes | None = None) -> None:
        self.world.machines.files[self.path] = orjson.dumps(self.config()) if text is None else text

    def start(self) -> None:
        world = self.world
        self.starts += 1
        self.write()
        zone = world.network.zones[self.address]
        process = Process(
            world.kernel, f"{self.name}/{self.starts}", self.address, zone, world.spec.sockets - 4
        )
        process.number = 1000 + self.starts
        process.loop.network = world.network
        process.exit = lambda how: world.witness("ended", process.name, how)
        environment = {"PROXY_CONFIG": self.path}
        if world.spec.admin and not self.tier:
            self.admin = (self.address, 9000 + self.starts)
            environment["PROXY_ADMIN"] = joined(self.admin)
        if world.spec.shared and not self.tier:
            environment |= {"PROXY_FD": "3", "TMPDIR": f"/tmp/{self.name}"}
        self.process, self.program = process, None
        world.witness("starts", process.name, self.place)
        process.run(self.begin, process, environment)

    def begin(self, process: Process, environment: dict) -> None:
        world = self.world

        async def main() -> None:
            program = PlatformServer(read_server_settings(environment), environment, Log(world, process.name))
            if self.process is process:
                self.program = program
            process.program = program
            await program.start()
            await program.end()

        def ended(task: asyncio.Task) -> None:
            error = None if task.cancelled() else task.exception()
            if error is not None:
                world.witness("crashed", process.name, repr(error))
            process.end("crashed" if error else "returned")

        process.loop.set_exception_handler(
            lambda _, context: Log(world, process.name)(
                "error", what=context.get("message"), why=repr(context.get("exception"))
            )
        )
        process.loop.create_task(main()).add_done_callback(ended)

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.alive

    def kill(self) -> None:
        if not self.world.spec.shared:
            self.world.rules.forget_bans(self.name)
        self.process.signal(signal.SIGKILL)

    def terminate(self, process: Process) -> None:
        """As the platform does it: SIGKILL where it has not ended in time."""
        process.signal(signal.SIGTERM)
        wait = max(SHUT, min(self.world.spec.limit, 3_000_000) + 700_000)
        self.world.later(wait, process.signal, signal.SIGKILL)


class Node:
    """An upstream through its processes."""

    def __init__(self, world: "World", spec: UpstreamSpec, registry: Registry) -> None:
        self.world, self.spec, self.registry = world, spec, registry
        self.state, self.started = "up", 0
        self.upstream: Upstream | None = None
        self.process: Process | None = None
        self.starts = 0
        self.beside: Balancer | None = None  # the balancer through which it calls the next tier
        self.clients: Clients | None = None

    def entry(self) -> dict:
        spec = self.spec
        return {
            "id": spec.name, "addr": f"{spec.host}:{spec.port}", "zone": spec.zone, "cell": spec.cell,
            "state": self.state, "weight": 1.0, "started_ms": self.started,
        }  # fmt: skip

    def list(self, state: str) -> None:
        if state != self.state or state == "up":
            self.state = state
            self.registry.put(self.entry())

    def start(self, cold: bool) -> None:
        world, spec = self.world, self.spec
        self.starts += 1
        process = self.process = Process(world.kernel, f"{spec.name}/{self.starts}", spec.host, spec.zone)
        process.loop.network = world.network
        born = world.kernel.now if cold else 0
        started = self.started = (EPOCH + born) // 1000 if cold else 0
        agents = self.registry.agents

        def told(name: str) -> bool:
            known = (agent.entries.get(spec.name) for agent in agents if not name or agent.name == name)
            return all(entry is not None and entry["started_ms"] == started for entry in known)

        chance = world.chance_of(f"{spec.name} {self.starts}")
        self.upstream = Upstream(spec, process.loop, world.witness, chance, born, told)
        world.rules.places[spec.name] = (spec.cell, spec.zone)
        if self.beside is not None:
            front = Front([self.beside.place])
            self.clients = Clients(
                process.loop, world.witness, chance, front, f"{spec.name}.{self.starts}-", 0
            )
            self.upstream.onward = self.onward
            if not self.beside.alive:
                self.beside.start()
        world.start(process, self.upstream.open())

    def onward(self, trace: str, name: str, done) -> None:
        """Its work holds calls of the next tier, one after the other."""
        world = self.world
        limit = world.spec.limit * 2 // 3
        left = int(world.spec.calls) + (self.upstream.chance.random() < world.spec.calls % 1)

        def go_on() -> None:
            nonlocal left
            left -= 1
            self.clients.ask(Ask(self.clients.name(), name, limit, limit, done=back))

        def back(status: int) -> None:
            if status == 200 and left > 0:
                go_on()
            else:
                done(status == 200)

        go_on()

    def kill(self) -> None:
        self.process.signal(signal.SIGKILL)
        if self.beside is not None and self.beside.alive:
            self.beside.kill()


class World:
    def __init__(self, scenario: Scenario, every: int = 0) -> None:
        """`every`: how often the balancers are weighed, in microseconds; 0: never."""
        self.every, self.weights = every, []
        self.scenario, self.spec, self.load = scenario, scenario.world, scenario.load
        spec = self.spec
        self.chance = Random(f"world {scenario.seed}")
        self.kernel = Kernel()
        shape = Shape(
            spec.delay, spec.cross, spec.jitter, 125, spec.sending, spec.window, spec.piece, spec.idle_dies,
            spec.idle_resets,
        )  # fmt: skip
        self.network = Network(self.kernel, shape, self.chance_of("network"))
        self.network.transports = transports.Transport
        self.machines = Machines(self.kernel, self.network)
        self.witness = Witness(self.kernel)
        limit, goal = spec.limit, spec.goal
        classes = {
            "query": Class("query", "idempotent", "all", 0, limit, goal, 1.0),
            "submit": Class("submit", "at_most_once", "all", 0, limit, goal, 10.0),
            "mark": Class("mark", "deduplicated", self.load.group, spec.repeat_window, limit, goal, 2.0),
            "late": Class("late", "idempotent", "all", 0, limit, goal, 1.0),
        }
        self.rules = Rules(self.kernel, self.witness, classes, spec.grace, spec.order_pause)
        self.network.tap, self.network.note = self.listen_in, self.witness
        self.taps: dict[tuple[str, int], str] = {}
        self.places()
        self.registry, self.behind = Registry(), Registry()
        self.nodes: list[Node] = []
        self.balancers: list[Balancer] = []
        self.sidecars: list[Balancer] = []
        self.faults = Faults(self)
        self.build()
        self.zero = START + LEAD
        self.remains = Remains(self)

    # Building.

    def chance_of(self, name: str) -> Random:
        return Random(f"{name} {self.scenario.seed}")

    def zone(self, number: int) -> str:
        return "abcd"[number % self.spec.zones]

    def places(self) -> None:
        zones = self.network.zones
        for number in range(self.spec.balancers):
            zones[f"10.0.0.{10 + number}"] = "a"
        for number in range(self.spec.upstreams):
            zones[f"10.1.0.{10 + number}"] = self.zone(number)
        for number in range(self.spec.behind):
            zones[f"10.2.0.{10 + number}"] = self.zone(number)
        zones["10.9.0.1"] = zones["10.9.0.2"] = "a"

    def settings(self, tier: int, index: int) -> dict:
        """In the words of the operators' wire."""
        spec, load = self.spec, self.load
        goal, limit = spec.goal / 1000, spec.limit / 1000

        def profile(name: str, semantics: str, revenue: float, **more) -> dict:
            return {"name": name, "service-goal": goal, "hard-limit": limit, "semantics": semantics,
                    "revenue": revenue, "tardy-revenue": LATE, **more}  # fmt: skip

        return {
            "balancers": spec.upstreams if tier else spec.balancers, "tier": tier, "self-index": index,
            "discovery": "pushed", "locality": 0, "localities": ["a", "b", "c", "d"][: spec.zones],
            "profiles": [
                profile("query", "idempotent", 1.0),
                profile("submit", "at_most_once", 10.0),
                profile("mark", "deduplicated", 2.0, group=load.group,
                        **{"dedup-window": spec.repeat_window / 1000, "in-order": load.keys > 0}),
            ],
            "caps": {"most-hops": spec.hops, "may-cancel": spec.may_cancel, "probing": spec.may_probe,
                     "retry-after": spec.advises, "max-retry-after": 3000.0,
                     "conn-idle": spec.conn_idle / 1000, "dial-timeout": spec.dial / 1000},
            "contract": {"cold-share": spec.cold_share, "cold": spec.cold / 1000,
                         "fall-multiple": spec.fall_multiple, "answer-slack": 20.0,
                         "order-pause": spec.order_pause / 1000},
        }  # fmt: skip

    def build(self) -> None:
        spec = self.spec
        for number in range(spec.upstreams + spec.behind):
            first = number < spec.upstreams
            rank = number if first else number - spec.upstreams
            made = UpstreamSpec(
                f"s-{rank}" if first else f"r-{rank}", f"10.{1 if first else 2}.0.{10 + rank}", 8080,
                self.zone(rank), rank % 2, spec.cores, spec.slots, spec.queue, spec.choke_at,
                spec.work if first else spec.work_behind or spec.work,
                spec.cold, spec.cold_share, spec.fall_multiple, rest=spec.conn_idle, may_probe=spec.may_probe,
                chance=spec.balancers > FEW,
            )  # fmt: skip
            node = Node(self, made, self.registry if first else self.behind)
            self.taps[(made.host, made.port)] = made.name
            self.nodes.append(node)
            node.registry.put(node.entry())
        for number in range(spec.balancers):
            address = f"10.0.0.{10 + number}"
            self.balancers.append(Balancer(self, f"b{number}", address, self.registry, 0, number))
        if spec.shared:
            for balancer in self.balancers:
                platform = Process(self.kernel, f"platform-{balancer.name}", balancer.address, "a")
                sock = Socket(self.network, platform)
                sock.bind(balancer.place)
                sock.listen(512)
                self.machines.inherited[balancer.address] = sock.listening
        if spec.behind:
            for number, node in enumerate(self.nodes[: spec.upstreams]):
                node.beside = Balancer(self, f"g{number}", node.spec.host, self.behind, 1, number)
                self.sidecars.append(node.beside)
        for node in self.nodes:
            node.start(cold=False)
        for balancer in self.balancers:
            balancer.start()
        self.front_process = Process(self.kernel, "front", "10.9.0.2", "a")
        self.front_process.loop.network = self.network
        self.front = Front([balancer.place for balancer in self.balancers])
        client = self.client = Process(self.kernel, "clients", "10.9.0.1", "a")
        client.loop.network = self.network
        self.clients = Clients(client.loop, self.witness, self.chance_of("clients"), self.front, "c")
        self.ask_front()

    def listen_in(self, end: End):
        self.rules.connections[end.number] = end
        upstream = self.taps.get(end.remote)
        if upstream is not None:
            return HopTap(self.witness, end, end.caller.name, upstream)
        return None

    # What goes on.

    def start(self, process: Process, coroutine):
        process.loop.network = self.network
        return process.run(process.loop.create_task, coroutine)

    def later(self, wait: int, act, *arguments) -> None:
        self.kernel.at(self.kernel.now + wait, None, act, *arguments)

    def ask_front(self) -> None:
        """Who is ready is dealt connections."""
        if self.faults.ending:
            return  # nobody comes any more
        for balancer in self.balancers:
            self.start(self.front_process, self.poll(balancer))
        self.later(POLL, self.ask_front)

    async def poll(self, balancer: Balancer) -> None:
        status, _ = await call(self.front_process.loop, balancer.place, "GET", "/-/ready")
        (self.front.out.discard if status == 200 else self.front.out.add)(balancer.place)
        if status == 200 and balancer.process.name not in self.rules.said_ready:
            self.witness("ready", balancer.process.name)

    def arrivals(self) -> None:
        """The load's schedule is laid down before the first request: answers don't slow it."""
        load, chance = self.load, self.chance_of("load")
        for _ in range(load.requests):
            at = chance.random() * load.over
            if chance.random() < load.burst:
                at = load.over // 2 + chance.random() * load.over / 10
            self.kernel.at(self.zero + int(at), self.client, self.clients.ask, self.draw(chance, load))

    def draw(self, chance: Random, load: LoadSpec) -> Ask:
        kind = chance.random()
        name = "submit" if kind < load.submits else "mark" if kind < load.submits + load.marked else "query"
        limit = self.spec.limit
        expires = int(limit * chance.uniform(0.5, 1.2)) // 1000 * 1000
        ask = Ask(
            self.clients.name(), name, expires, min(limit, expires), tries=1 + load.retries,
            fresh=chance.random() < load.fresh, honours=chance.random() < load.honours,
        )  # fmt: skip
        if name != "query":
            ask.body = b"x" * chance.choice((0, 20, 600, 2_500))
            if chance.random() < load.long_bodies:
                ask.body = b"y" * BODY
        if chance.random() < load.long_answers:
            ask.target = b"?long"
        if name == "mark" and load.keys:
            ask.key = f"k{chance.randrange(load.keys)}"
        if chance.random() < load.leave:
            ask.leaves_after = 1 + int(chance.random() * expires)
        if chance.random() < load.trickle:
            ask.trickle = chance.choice((2_000, 20_000, 60_000))
        return ask

    def play(self) -> Result:
        collected = gc.isenabled()
        gc.disable()
        try:
            with self.machines.standing_in():
                self.run()
        except Runaway as error:
            self.rules.broken("runs away", str(error))
        finally:
            self.kernel.close()
            if collected:
                gc.enable()
        return Result(
            self.scenario.seed, self.witness.digest(), self.rules.violations, self.rules.counts,
            self.kernel.steps, self.kernel.now - START, [fault.what for fault in self.scenario.faults],
            self.witness.lines, self.rules.worth(LATE),
        )  # fmt: skip

    def run(self) -> None:
        kernel, spec = self.kernel, self.spec
        self.faults.arm()
        self.arrivals()
        self.rules.asked_until = self.zero + self.scenario.length
        self.rules.fronted = {balancer.name for balancer in self.balancers}
        kernel.run(self.zero)
        self.remains.begin()
        if self.every:
            while kernel.now < self.zero + self.scenario.length:
                kernel.run(min(kernel.now + self.every, self.zero + self.scenario.length))
                self.weights.append([weigh(program) for _, program in self.remains.running()])
        kernel.run(self.zero + self.scenario.length)
        self.faults.over()
        kernel.run(kernel.now + max(REST, 2 * spec.limit + spec.conn_idle + 1_500_000))
        self.remains.check()
        for balancer in (*self.balancers, *self.sidecars):
            if balancer.alive:
                balancer.process.signal(signal.SIGTERM)
        kernel.run(kernel.now + LAST)
        self.remains.ended()


def play(scenario: Scenario) -> Result:
    return World(scenario).play()
