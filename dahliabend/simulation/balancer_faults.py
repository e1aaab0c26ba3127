"""Faults of balancers: of their processes and configurations, and actions of their operators."""

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

RESTART_TIME = 200 * MS  # minimum from the end of a process to the start of the next
READINESS_INTERVAL = 100 * MS  # between two readiness polls of a new process
MAX_ADDED_ATTEMPTS = 4  # added to the attempt limit on a reload; multiplied by the fault's size
MAX_MALFORMED_ADMIN_CLIENTS = 20  # multiplied by the fault's size
TRUNCATION_THRESHOLD = 0.4  # a fault below this size truncates the configuration
INCOMPLETENESS_THRESHOLD = 0.7  # below this size a fault removes a table, from it on it makes a value invalid
TARGET_MULTIPLIER = 97  # maps the fault's size to an upstream
OK = 200


class BalancerFaults:
    """The faults of balancers and operators. Each action returns a function that ends it, or None."""

    def __init__(self, simulation: FaultEnvironment) -> None:
        self.simulation = simulation
        self._operator_calls: dict[str, asyncio.Task[None]] = {}  # the last call, by balancer
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
            "half-call": self.connect_malformed_admin_clients,
        }

    def _balancer(self, fault: Fault) -> BalancerHost:
        return self.simulation.balancers[fault.whom]

    def kill(self, fault: Fault) -> Undo:
        """Kill the balancer's process, and start another one when the fault ends."""
        balancer = self._balancer(fault)
        if not balancer.is_alive:
            return None
        balancer.kill()
        return balancer.start_if_down

    def terminate(self, fault: Fault) -> Undo:
        """Restart the balancer in a planned way; with a shared listener, start the new process first."""
        simulation = self.simulation
        balancer = self._balancer(fault)
        process = balancer.process
        if simulation.spec.shares_listener:
            return self.upgrade(fault)
        if process is None or not process.is_alive:
            return None
        name = process.name

        def record_exit_and_restart(reason: str) -> None:
            """Record the process's end, and schedule the next start."""
            simulation.recorder("ended", name, reason)
            simulation.invariants.endpoints.forget_exclusions(balancer.name)
            wait = max(RESTART_TIME, fault.span)
            simulation.call_later(wait, balancer.start_if_down)

        process.on_exit = record_exit_and_restart
        balancer.terminate(process)
        return None

    def stall(self, fault: Fault) -> Undo:
        """Keep the balancer's process from running for the fault's duration."""
        process = self._balancer(fault).process
        if process is not None and process.is_alive:
            self.simulation.recorder("stalled", process.name, fault.span)
            process.stall(fault.span)
        return None

    def reload(self, fault: Fault) -> Undo:
        """Reload settings with another attempt limit and an additional request class."""
        balancer = self._balancer(fault)
        settings = _deep_copy(balancer.settings)
        settings["caps"]["most-hops"] = 2 + int(MAX_ADDED_ATTEMPTS * fault.size)
        settings["profiles"].append({**settings["profiles"][0], "name": "late"})
        self._apply_settings(balancer, settings)
        return None

    def drop_class(self, fault: Fault) -> Undo:
        """Reload settings without the class `mark`, of which requests may be open."""
        balancer = self._balancer(fault)
        settings = _deep_copy(balancer.settings)
        settings["profiles"] = [entry for entry in settings["profiles"] if entry["name"] != "mark"]
        self._apply_settings(balancer, settings)
        return None

    def _apply_settings(self, balancer: BalancerHost, settings: dict[str, Any]) -> None:
        """Replace a balancer's settings, and send it the signal to reload them."""
        balancer.settings = settings
        balancer.write_config()
        balancer.signal(signal.SIGHUP)

    def break_config(self, fault: Fault) -> Undo:
        """Replace the balancer's configuration by an invalid one, which the balancer has to reject."""
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
        """Start a second process on the shared listener, and terminate the first once the second is ready."""
        simulation = self.simulation
        balancer = self._balancer(fault)
        predecessor = balancer.process
        if predecessor is None or not predecessor.is_alive or not simulation.spec.shares_listener:
            return None
        balancer.start()
        successor = balancer.process

        def poll_if_alive() -> None:
            """Start to poll the new process if it still runs."""
            if successor is not None and successor.is_alive:
                simulation.spawn(simulation.poller_process, poll())

        async def poll() -> None:
            """Terminate the old process if the new one is ready, or poll again later."""
            loop = simulation.poller_process.loop
            status, _ = await call(loop, balancer.admin_address, "GET", "/api/ready")
            if status == OK and predecessor.is_alive:
                balancer.terminate(predecessor)
            elif status != OK:
                simulation.call_later(READINESS_INTERVAL, poll_if_alive)

        simulation.call_later(READINESS_INTERVAL, poll_if_alive)
        return None

    # Operators' actions

    def _call_operator(self, balancer: BalancerHost, path: str, target: str = "") -> None:
        """Call a balancer's admin interface once its previous call is answered."""
        simulation = self.simulation
        process = balancer.process
        address = balancer.admin_address
        previous_call = self._operator_calls.get(balancer.name)

        async def make_call() -> None:
            """Wait for the previous call, make this one and record its result."""
            if previous_call is not None:
                await previous_call
            loop = simulation.poller_process.loop
            status, _ = await call(loop, address, "PUT", f"/api/{path}", target)
            simulation.recorder("said", balancer.name, path, status)
            if status == OK and process is not None and process.is_alive:
                simulation.recorder("yes", balancer.name, path, target)

        self._operator_calls[balancer.name] = simulation.spawn(simulation.poller_process, make_call())

    def exclude(self, fault: Fault) -> Undo:
        """Exclude an upstream by an operator's call, and include it again when the fault ends."""
        simulation = self.simulation
        balancer = self._balancer(fault)
        number = int(fault.size * TARGET_MULTIPLIER) % simulation.spec.upstreams
        target = simulation.upstreams[number].spec.name
        self._call_operator(balancer, "exclude", target)
        return lambda: self._call_operator(balancer, "include", target)

    def evacuate(self, fault: Fault) -> Undo:
        """Evacuate the balancer by an operator's call, and have it rejoin when the fault ends."""
        balancer = self._balancer(fault)
        self._call_operator(balancer, "evacuate")
        return lambda: self._call_operator(balancer, "rejoin")

    def connect_malformed_admin_clients(self, fault: Fault) -> Undo:
        """Connect clients to the admin interface that send no request or a malformed one."""
        simulation = self.simulation
        address = self._balancer(fault).admin_address
        count = 1 + int(MAX_MALFORMED_ADMIN_CLIENTS * fault.size)
        return connect_malformed_clients(simulation, simulation.poller_process, count, lambda: address)


def connect_malformed_clients(
    simulation: FaultEnvironment, process: Process, count: int, next_address: Callable[[], Address | None]
) -> Undo:
    """Connect clients that send nothing or malformed requests, until the returned function aborts them."""
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
        """Abort the connections that were opened."""
        for transport in transports:
            transport.abort()

    simulation.spawn(process, connect())
    return lambda: process.run(abort_all)


def _deep_copy(settings: dict[str, Any]) -> dict[str, Any]:
    copied_settings: dict[str, Any] = orjson.loads(orjson.dumps(settings))
    return copied_settings
