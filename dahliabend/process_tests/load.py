"""Upstreams, clients and discovery on real sockets, for the process tests."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from dahliabend.process_tests.load_observer import DRAIN_TIME, REQUEST_TIMEOUT, TOLERANCE, LoadObserver
from dahliabend.simulation.addresses import Address, format_address
from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.simulation.peers.upstream import Upstream
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec

S = 1_000_000  # microseconds in a second
LOOPBACK = "127.0.0.1"
DISCOVERY_DELAY = 20_000  # microseconds
UPSTREAM_WORK = 3_000  # mean microseconds per request
UPSTREAM_IDLE_TIMEOUT = 20 * S
WARMUP_TIME = 4 * S
INITIAL_CAPACITY = 0.2  # share of the full capacity at the start of the warm-up
UPSTREAM_CORES = 4
SUBMIT_SHARE = 0.4  # share of requests that are not idempotent
FAULT_INTERVAL = (6, 15)  # seconds between upstream faults, minimum and maximum
FAULT_TIME = 2.0  # seconds that an upstream fails or hangs
RESTART_TIME = 0.5  # seconds between the end of a replaced upstream and its restart
FAULTS = ("replace", "replace", "fail", "hang", "reset")
# Faults that are attributes of an upstream: the attribute, its value during the fault and after it.
FAULT_ATTRIBUTES: dict[str, tuple[str, object, object]] = {
    "fail": ("failing", 0.9, 0.0),
    "hang": ("hung", True, False),
}
OPEN_REQUESTS_CHECK_INTERVAL = 0.05  # seconds between checks for open requests at the end
MAX_OPEN_REQUESTS_CHECKS = 100  # maximum number of these checks
BODY = b"x" * 50
POOLS_TEMPLATE = """
[pools.main]
discovery = "{discovery}"
balancers = {balancers}
grace = "1500ms"
cold = {{ share = "20%", time = "4s", multiple = 4.0 }}
{subset}
[classes.query]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[classes.submit]
effect = "non-idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "submits"
path = "/submit"
class = "submit"
pool = "main"
{limit}
[[routes]]
name = "rest"
class = "query"
pool = "main"
"""


def pools_text(script: ClusterScript, discovery_address: Address) -> str:
    """Return the part of the instances' configuration files with pools, request classes and routes."""
    subset = f'[pools.main.subset]\nleast = {script.subset}\ndegree = {script.subset}\nhold = "5s"'
    return POOLS_TEMPLATE.format(
        discovery=format_address(discovery_address),
        balancers=script.instances,
        subset=subset if script.subset else "",
        limit=f'rate = "{script.limit}/s"\nshared = true' if script.limit else "",
    )


class LoadEnvironment:
    """Upstreams, discovery, clients that send requests to instances, and faults of the upstreams."""

    def __init__(self, rng: Random, request_rate: float, upstreams: int, ports: list[int]) -> None:
        """Create peers that do not listen yet.

        Args:
            rng: Generator of arrivals and faults.
            request_rate: Requests per second.
            upstreams: Number of upstreams.
            ports: Ports of the upstreams, and one for discovery.
        """
        self.rng = rng
        self.request_rate = request_rate
        self.observer = LoadObserver()
        self.registry = Registry()
        self.upstreams: list[Upstream] = []
        self.specs = [
            UpstreamSpec(
                f"u{number}",
                LOOPBACK,
                port,
                "z0",
                number,
                cores=UPSTREAM_CORES,
                mean_work=UPSTREAM_WORK,
                warmup_time=WARMUP_TIME,
                initial_capacity=INITIAL_CAPACITY,
                idle_timeout=UPSTREAM_IDLE_TIMEOUT,
            )
            for number, port in enumerate(ports[:upstreams])
        ]
        self.discovery_address: Address = (LOOPBACK, ports[upstreams])
        self.clients: dict[int, Clients] = {}  # by instance
        self._tasks: list[asyncio.Task[None]] = []
        self._fault_lock = asyncio.Lock()  # held while a fault is in force
        self._are_faults_over = False

    async def open(self) -> None:
        """Start the upstreams and discovery."""
        loop = asyncio.get_running_loop()
        for spec in self.specs:
            await self.start_upstream(spec, 0)
        agent = Agent(self.registry, loop, self.observer, Random(1), DISCOVERY_DELAY)
        await agent.open(*self.discovery_address)

    async def start_upstream(self, spec: UpstreamSpec, started_at: int) -> Upstream:
        """Start an upstream, which replaces one of the same name; `started_at` as in `Upstream`."""
        loop = asyncio.get_running_loop()
        rng = Random(f"{spec.name} {started_at}")
        upstream = Upstream(spec, loop, self.observer, rng, started_at, lambda _: True)
        await upstream.open()
        self.upstreams = [u for u in self.upstreams if u.spec.name != spec.name] + [upstream]
        self.publish(spec, "up", started_at)
        return upstream

    def publish(self, spec: UpstreamSpec, state: str, started_at: int = 0) -> None:
        """Publish an upstream's state to discovery."""
        self.registry.put(
            {
                "id": spec.name,
                "addr": f"{spec.host}:{spec.port}",
                "zone": spec.zone,
                "cell": spec.cell,
                "state": state,
                "started_ms": round(time.time() * 1000) if started_at else 0,
            }
        )

    def add_clients(self, instance: int, address: Address) -> None:
        """Add clients of an instance."""
        loop = asyncio.get_running_loop()
        rotation = ConnectionRotation([address])
        rng = Random(f"clients {instance}")
        self.clients[instance] = Clients(loop, self.observer, rng, rotation, f"c{instance}-")

    def begin(self, is_available: Callable[[int], bool]) -> None:
        """Begin to send requests to the instances that are available, and to inject faults."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._send_requests(is_available)),
            loop.create_task(self._inject_faults()),
        ]

    async def _send_requests(self, is_available: Callable[[int], bool]) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.request_rate))
            instances = [instance for instance in self.clients if is_available(instance)]
            if not instances:
                continue
            instance = self.rng.choice(instances)
            clients = self.clients[instance]
            trace_id = clients.next_trace_id()
            if self.rng.random() < SUBMIT_SHARE:
                request = ClientRequest(
                    trace_id, "submit", REQUEST_TIMEOUT, REQUEST_TIMEOUT, path="/submit", body=BODY
                )
            else:
                request = ClientRequest(trace_id, "query", REQUEST_TIMEOUT, REQUEST_TIMEOUT, path="/q")
            self.observer.instances[trace_id] = instance
            clients.send(request)

    async def _inject_faults(self) -> None:
        """Inject faults of random upstreams, one at a time.

        An upstream drains, ends and restarts with a warm-up; or it fails, hangs or resets all connections.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL))
            async with self._fault_lock:
                await self._inject_fault(self.rng.choice(self.upstreams))

    async def _inject_fault(self, upstream: Upstream) -> None:
        what = self.rng.choice(FAULTS)
        self.observer.counts[f"upstream {what}"] += 1
        if what == "replace":
            await self._replace(upstream)
        elif what == "reset":
            upstream.reset_all()
        else:
            attribute, value, normal = FAULT_ATTRIBUTES[what]
            setattr(upstream, attribute, value)
            await asyncio.sleep(FAULT_TIME)
            setattr(upstream, attribute, normal)

    async def _replace(self, upstream: Upstream) -> None:
        spec = upstream.spec
        self.publish(spec, "draining")
        await asyncio.sleep(2 * (DRAIN_TIME + TOLERANCE) / S)
        self.publish(spec, "removed")
        upstream.server.close()
        upstream.reset_all()
        await asyncio.sleep(RESTART_TIME)
        await self.start_upstream(spec, round(asyncio.get_running_loop().time() * S))

    async def end_faults(self) -> None:
        """Wait for the end of the fault in force, and inject no more faults."""
        if not self._are_faults_over:
            self._are_faults_over = await self._fault_lock.acquire()

    async def end(self) -> None:
        """Stop sending requests, wait for the open ones, and check that all were answered."""
        for task in self._tasks:
            task.cancel()
        for _ in range(MAX_OPEN_REQUESTS_CHECKS):
            if not any(clients.open_requests for clients in self.clients.values()):
                break
            await asyncio.sleep(OPEN_REQUESTS_CHECK_INTERVAL)
        self.observer.check_answered()
        for upstream in self.upstreams:
            upstream.server.close()
