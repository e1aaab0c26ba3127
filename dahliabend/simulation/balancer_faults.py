"""Faults of balancers: their processes and configurations, and what operators do to them."""

import asyncio
import signal
from collections.abc import Callable
from typing import Any

import orjson

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.balancer_host import BalancerHost
from dahliabend.simulation.event_loop import Process
from dahliabend.simulation.fault_environment import FaultEnvironment, Undo
from dahliabend.simulation.peers.misbehaving_clients import MalformedClient
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.scenario import MS, Fault

RESTART_TIME = 200 * MS  # from an end until the next start, where the span says less
READINESS_INTERVAL = 100 * MS  # between two polls of a successor
MAX_ADDED_ATTEMPTS = 4  # of reloaded settings, times the fault's size
MAX_IDLE_ADMIN_CONNECTIONS = 20  # times the fault's size
TRUNCATION_THRESHOLD = 0.4  # of a fault that breaks the configuration: smaller ones truncate it
INCOMPLETENESS_THRESHOLD = 0.7  # and those below this leave a table out
TARGET_MULTIPLIER = 97  # spreads the sizes of faults over the upstreams
OK = 200


class BalancerFaults:
    """The faults of balancers and operators; each action returns what undoes it."""

    def __init__(self, simulation: FaultEnvironment) -> None:
        self.simulation = simulation
        self._operator_calls: dict[str, asyncio.Task[None]] = {}  # by balancer: the last one
        self.actions: dict[str, Callable[[Fault], Undo]] = {
            "kill": self.kill,
            "term": self.terminate,
            "stall": self.stall,
            "reload": self.reload,
            "drop-class": self.drop_class,
            "broken-file": self.break_config,
            "upgrade": self.upgrade,
            "exclude": self.exclude,
            "evacuate": self.evacuate,
            "half-call": self.open_admin_connections,
        }

    def _balancer(self, fault: Fault) -> BalancerHost:
        return self.simulation.balancers[fault.whom]

    def kill(self, fault: Fault) -> Undo:
        """It is killed, and started again."""
        balancer = self._balancer(fault)
        if not balancer.alive:
            return None
        balancer.kill()
        return balancer.start_if_down

    def terminate(self, fault: Fault) -> Undo:
        """A planned restart; where processes share a listener, the successor comes first."""
        simulation = self.simulation
        balancer = self._balancer(fault)
        process = balancer.process
        if simulation.spec.shares_listener:
            return self.upgrade(fault)
        if process is None or not process.alive:
            return None
        name = process.name

        def record_exit_and_restart(reason: str) -> None:
            """Record the end, and start again later."""
            simulation.recorder("ended", name, reason)
            simulation.invariants.endpoints.forget_exclusions(balancer.name)
            wait = max(RESTART_TIME, fault.span)
            simulation.call_later(wait, balancer.start_if_down)

        process.on_exit = record_exit_and_restart
        balancer.terminate(process)
        return None

    def stall(self, fault: Fault) -> Undo:
        """It cannot run for a while."""
        process = self._balancer(fault).process
        if process is not None and process.alive:
            self.simulation.recorder("stalled", process.name, fault.span)
            process.stall(fault.span)
        return None

    def reload(self, fault: Fault) -> Undo:
        """Its settings change: other attempts, one class more."""
        balancer = self._balancer(fault)
        settings = _deep_copy(balancer.settings)
        settings["caps"]["most-hops"] = 2 + int(MAX_ADDED_ATTEMPTS * fault.size)
        settings["profiles"].append({**settings["profiles"][0], "name": "late"})
        self._apply_settings(balancer, settings)
        return None

    def drop_class(self, fault: Fault) -> Undo:
        """The class `mark` is removed from its settings, with requests open."""
        balancer = self._balancer(fault)
        settings = _deep_copy(balancer.settings)
        settings["profiles"] = [entry for entry in settings["profiles"] if entry["name"] != "mark"]
        self._apply_settings(balancer, settings)
        return None

    def _apply_settings(self, balancer: BalancerHost, settings: dict[str, Any]) -> None:
        balancer.settings = settings
        balancer.write_config()
        balancer.signal(signal.SIGHUP)

    def break_config(self, fault: Fault) -> Undo:
        """Its configuration is replaced by an invalid one, which has to be rejected."""
        balancer = self._balancer(fault)
        text = orjson.dumps(balancer.program_config())
        config = orjson.loads(text)
        if fault.size < TRUNCATION_THRESHOLD:
            text = text[: len(text) // 2]
        elif fault.size < INCOMPLETENESS_THRESHOLD:
            del config["settings"]["contract"]
            text = orjson.dumps(config)
        else:
            config["settings"]["profiles"][0]["hard-limit"] = -1
            text = orjson.dumps(config)
        balancer.write_config(text)
        balancer.signal(signal.SIGHUP)
        return None

    def upgrade(self, fault: Fault) -> Undo:
        """A successor starts beside it; once that is ready, this process is terminated."""
        simulation = self.simulation
        balancer = self._balancer(fault)
        predecessor = balancer.process
        if predecessor is None or not predecessor.alive or not simulation.spec.shares_listener:
            return None
        balancer.start()
        successor = balancer.process

        def check_ready() -> None:
            """Poll the successor if it still runs."""
            if successor is not None and successor.alive:
                simulation.spawn(simulation.poller_process, poll())

        async def poll() -> None:
            """Ask the successor whether it is ready."""
            loop = simulation.poller_process.loop
            status, _ = await call(loop, balancer.admin_address, "GET", "/api/ready")
            if status == OK and predecessor.alive:
                balancer.terminate(predecessor)
            elif status != OK:
                simulation.call_later(READINESS_INTERVAL, check_ready)

        simulation.call_later(READINESS_INTERVAL, check_ready)
        return None

    # Operators.

    def _call_operator(self, balancer: BalancerHost, path: str, target: str = "") -> None:
        """Call a balancer's admin interface, after the answer to the call before."""
        simulation = self.simulation
        process = balancer.process
        address = balancer.admin_address
        previous_call = self._operator_calls.get(balancer.name)

        async def make_call() -> None:
            """Make the call, once the one before is answered."""
            if previous_call is not None:
                await previous_call
            loop = simulation.poller_process.loop
            status, _ = await call(loop, address, "PUT", f"/api/{path}", target)
            simulation.recorder("said", balancer.name, path, status)
            if status == OK and process is not None and process.alive:
                simulation.recorder("yes", balancer.name, path, target)

        self._operator_calls[balancer.name] = simulation.spawn(simulation.poller_process, make_call())

    def exclude(self, fault: Fault) -> Undo:
        """An operator excludes an upstream."""
        simulation = self.simulation
        balancer = self._balancer(fault)
        number = int(fault.size * TARGET_MULTIPLIER) % simulation.spec.upstreams
        target = simulation.upstreams[number].spec.name
        self._call_operator(balancer, "exclude", target)
        return lambda: self._call_operator(balancer, "include", target)

    def evacuate(self, fault: Fault) -> Undo:
        """An operator evacuates the balancer."""
        balancer = self._balancer(fault)
        self._call_operator(balancer, "evacuate")
        return lambda: self._call_operator(balancer, "rejoin")

    def open_admin_connections(self, fault: Fault) -> Undo:
        """Connections to the admin interface that send no request, or half of one."""
        simulation = self.simulation
        address = self._balancer(fault).admin_address
        count = 1 + int(MAX_IDLE_ADMIN_CONNECTIONS * fault.size)
        return open_malformed_connections(simulation, simulation.poller_process, count, lambda: address)


def open_malformed_connections(
    simulation: FaultEnvironment, process: Process, count: int, next_address: Callable[[], Address | None]
) -> Undo:
    """Open connections on which malformed clients stay until this is undone."""
    transports: list[asyncio.Transport] = []

    async def connect() -> None:
        """Open the connections one by one."""
        for _ in range(count):
            address = next_address()
            if address is None:
                return
            try:
                transport, _ = await process.loop.create_connection(
                    lambda: MalformedClient(simulation.rng), *address
                )
            except OSError:
                return
            transports.append(transport)

    def abort_all() -> None:
        """Abort those that were opened."""
        for transport in transports:
            transport.abort()

    simulation.spawn(process, connect())
    return lambda: process.run(abort_all)


def _deep_copy(settings: dict[str, Any]) -> dict[str, Any]:
    copied_settings: dict[str, Any] = orjson.loads(orjson.dumps(settings))
    return copied_settings
