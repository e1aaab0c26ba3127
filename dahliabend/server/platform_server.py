"""One balancer, from its configuration to its end."""

import asyncio
import gc
import os
import signal
from collections.abc import Callable, Mapping

from dahliabend.config.platform import reread_server_settings
from dahliabend.config.server_settings import ServerSettings
from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.http.admin_connection import AdminConnection
from dahliabend.http.client_connection import ClientConnection
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.router import Router
from dahliabend.server.admin import AdminApi
from dahliabend.server.hot_restart import HotRestart
from dahliabend.server.log import Log
from dahliabend.server.metrics import Metrics
from dahliabend.transport.descriptor_budget import ADMIN_DESCRIPTORS, PROCESS_DESCRIPTORS, DescriptorBudget
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import TimerQueue, clock

ACCEPT_PERIOD = 500_000  # new connections come for 0.4 s after SIGTERM at the most
MAX_STOP_TIME = 3_000_000  # SIGKILL comes no sooner than the longest limit, this at most,
STOP_MARGIN = 700_000  # and this
ANSWER_MARGIN = 300_000  # how long before that the last answers go out
CLIENT_IDLE_TIMEOUT = 2_000_000  # a caller's connection idle for longer is closed
IDLE_SWEEP_INTERVAL = CLIENT_IDLE_TIMEOUT // 4  # how often these are looked for
BLOCKED_SIGNALS = (signal.SIGHUP,)  # from the start until it can be acted on
PROCESS_CHECK_INTERVAL = 100_000  # how often another process is looked for
HANDOVER_TIMEOUT = 1_000_000  # how long one that was there before is waited for
METRICS_INTERVAL = 5_000_000  # how often the log gets a line of figures


class PlatformServer:
    def __init__(self, node: ServerSettings, environment: Mapping[str, str], log: Log) -> None:
        loop = asyncio.get_running_loop()
        self.listen, self.admin, self.log = node.listen, node.admin, log
        self.environment = environment
        self.done = loop.create_future()
        self.timers = TimerQueue(loop)
        self.descriptors = DescriptorBudget(node.descriptor_limit - (ADMIN_DESCRIPTORS if node.admin else 0))
        self.metrics = Metrics()
        table = EndpointTable(
            self.timers, self.descriptors, node.connect_timeout, node.idle_reuse_time, log.debug
        )
        self.router = Router(node, self.timers, table, self.metrics, log)
        self.endpoint_list = endpoint_list = EndpointList(self.router, log)
        self.discovery = self.router.discovery = DiscoveryClient(
            node.discovery, endpoint_list, self.timers, self.descriptors, node.connect_timeout,
            self.router.balancer.random, log, node.settings.polls_endpoints,
        )  # fmt: skip
        self.listener = Listener(self.timers, self.descriptors, self.accept)
        self.admin_descriptors, self.operations = (
            DescriptorBudget(PROCESS_DESCRIPTORS + ADMIN_DESCRIPTORS),
            AdminApi(self, log),
        )
        self.admin_listener = Listener(self.timers, self.admin_descriptors, self.accept_operator)
        self.inherited = node.listener_descriptor
        self.handover = HotRestart(node.shared_directory, log) if node.shared_directory else None
        self.older: list[tuple[int, int]] = []  # processes that were there before
        self.clearing: list | None = None  # when callers that are idle are next sent away
        self.sharing_descriptors = False  # does another process live on half of the descriptors?
        self.patience, self.terms, self.keys = max(node.class_deadlines), node.policy_inputs, node.named_keys
        self.log_unmet(node.unsupported_keys)
        if node.known_endpoints:
            endpoint_list.apply(node.known_endpoints, first=True)
        table.close_expired_connections()

    async def start(self) -> None:
        """Until callers are taken."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, BLOCKED_SIGNALS
        )  # one that came during the start is not missed
        if self.admin:
            self.admin_listener.open(self.admin)
        if self.handover is not None:
            await self.take_over()
        self.discovery.open()
        if self.inherited is None:
            self.listener.open(self.listen)
        else:
            self.listener.inherit(self.inherited)
        self.log("listening", address=":".join(map(str, self.listen)), **self.listening_fields())
        self.beat()
        self.sweep()

    def listening_fields(self) -> dict:
        return {"entrance": self.router.balancer.is_entry_tier}

    async def end(self) -> None:
        await self.done
        self.discovery.stop()
        self.log("ended", counts=self.router.counts)

    def accept(self) -> ClientConnection:
        return ClientConnection(self.descriptors, self.timers, self.router, self.patience)

    def accept_operator(self) -> AdminConnection:
        return AdminConnection(self.admin_descriptors, self.timers, self.operations)

    # Beside another process.

    async def take_over(self) -> None:
        """From the one in service, if there is one, before callers are taken."""
        try:
            self.handover.open()
        except OSError as error:  # it serves without, and an upgrade starts afresh
            self.handover = None
            return self.log("handover.none", why=str(error))
        self.check_other_processes(again=False)
        until, state = clock() + HANDOVER_TIMEOUT, None
        while self.older and clock() < until and not (state := self.handover.read_state()):
            await asyncio.sleep(PROCESS_CHECK_INTERVAL / 1e6 / 4)
            self.check_other_processes(again=False)
        if self.older and state:
            try:
                self.resume_from(state)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                self.log("handover.unread", why=repr(error))
        self.check_other_processes()

    def resume_from(self, state: dict) -> None:
        self.router.epoch = state["epoch"]  # else the same start would look like another one
        for name in state["once"]:
            self.router.table.remember_id(name)
        for name, when in state["returned"].items():
            self.router.table.get_or_create(name).included_at = when
        self.endpoint_list.apply(state["list"], first=True)
        kept = self.router.restore(state)
        self.discovery.change_address(tuple(state["discovery"]))
        self.discovery.attempted = True  # it has been asked already, by the one before
        self.log("followed", kept=kept, upstreams=len(self.router.table.endpoints))

    def check_other_processes(self, again: bool = True) -> None:
        """Who else is there, and what has an operator told the other?"""
        if again:
            self.timers.schedule(clock() + PROCESS_CHECK_INTERVAL, self.check_other_processes)
        living = self.handover.live_processes()
        self.older = [key for key in living if key < self.handover.process_key]
        newer = [key for key in living if key > self.handover.process_key]
        if bool(living) != self.sharing_descriptors:
            self.sharing_descriptors = not self.sharing_descriptors  # to the limits both are one balancer
            self.descriptors.set_share(1 / 2 if self.sharing_descriptors else 1)
        if living:
            self.handover.publish_in_flight(self.router.attempts_in_flight())
        self.router.balancer.concurrency.in_flight_elsewhere = sum(living.values())
        excluded = self.handover.exclusions()
        for name in sorted(excluded ^ self.router.excluded):
            self.router.table.remember_id(name)
            self.router.exclude(name, name in excluded)
        if again and newer:
            self.handover.write_state_for(newer[-1], self.handover_state)

    def handover_state(self) -> dict:
        """What a successor goes on from."""
        servers = {
            "version": self.endpoint_list.version,
            "full": True,
            "servers": self.router.endpoint_entries(),
        }
        return self.router.snapshot() | {"list": servers, "discovery": self.discovery.address}

    # What operators ask for.

    def ready(self) -> bool:
        return self.listener.sock is not None and self.router.ready()

    def telemetry(self) -> dict:
        return self.metrics.snapshot() | self.router.telemetry()

    def members(self) -> dict | None:
        """Who else balances, where that is known."""
        return None

    def subsets(self) -> dict:
        """By pool, the upstreams that this balancer uses, where it uses some."""
        return {}

    def signals(self) -> dict | None:
        """What balancers tell each other of upstreams, where they do."""
        return None

    def turns(self) -> dict | None:
        """What balancers do in turn, where they do."""
        return None

    def exclude(self, name: str, out: bool) -> bool:
        known = self.router.exclude(name, out)
        if known and self.handover is not None:
            self.handover.set_excluded(name, out)
        return known

    def evacuate(self) -> None:
        """Callers go elsewhere; what they have asked for is answered first, and who still comes is served."""
        self.router.evacuated = True
        self.clear_out()

    def rejoin(self) -> None:
        self.router.evacuated = False

    def clear_out(self) -> None:
        self.timers.cancel(self.clearing)  # the calls may come in any order, and often
        if self.router.evacuated:
            self.close_idle_clients()
            self.clearing = self.timers.schedule(clock() + ANSWER_MARGIN // 3, self.clear_out)

    def sweep(self) -> None:
        """Many callers ask once and stay: kept, their connections would be all there are."""
        for caller in self.client_connections(self.descriptors.idle_since(clock() - CLIENT_IDLE_TIMEOUT)):
            caller.close_if_idle(1)
        self.timers.schedule(clock() + IDLE_SWEEP_INTERVAL, self.sweep)

    def beat(self) -> None:
        """The figures that on-call looks for first."""
        balancer = self.router.balancer
        self.log(
            "figures", counts=self.router.counts, held=len(self.router.requests),
            connections=len(self.descriptors.connections), out=balancer.concurrency.in_flight,
            crowd=round(balancer.concurrency.limit, 1),
            tier=round(balancer.throttling.tier.reduction, 2), ready=len(balancer.selection.ready),
            using=len(balancer.selection.selected),
            aside=[
                self.router.table.endpoints[u.index].name
                for u in balancer.selection.ready if u.is_ejected
            ],
        )  # fmt: skip
        self.timers.schedule(clock() + METRICS_INTERVAL, self.beat)

    def client_connections(self, connections) -> list[ClientConnection]:
        return [connection for connection in connections if isinstance(connection, ClientConnection)]

    def reload(self) -> None:
        """Takes over what can change while running. A faulty file changes nothing."""
        try:
            node = reread_server_settings(self.environment, self.keys)
        except ValueError as error:
            self.metrics.configs_rejected += 1
            return self.log("reload.refused", why=str(error))
        self.metrics.configs_accepted += 1
        self.log.verbose, self.keys = node.verbose, node.named_keys
        self.discovery.change_address(node.discovery)
        if node.policy_inputs != self.terms:
            self.switch(node)
        self.log("reloaded", discovery=":".join(map(str, node.discovery)), debug=node.verbose)

    def switch(self, node: ServerSettings) -> None:
        """Other settings, without a moment in which nobody serves."""
        # Callers that connected before wait as long as either settings allow.
        self.patience, self.terms = max(self.patience, *node.class_deadlines), node.policy_inputs
        table = self.router.table
        table.connect_timeout, table.idle_timeout = node.connect_timeout, node.idle_reuse_time
        held = len(self.router.requests)
        kept = self.router.apply_settings(node)
        self.log("switched", held=held, kept=kept, afresh=len(table.endpoints) - kept)
        self.log_unmet(node.unsupported_keys)

    def log_unmet(self, unmet: tuple[str, ...]) -> None:
        if unmet:
            self.log("unmet", settings=unmet)

    # The end.

    def stop(self) -> None:
        if self.router.shutdown_deadline:
            return
        now = clock()
        self.log("stopping", held=len(self.router.requests))
        self.router.shut_down_by(now + min(self.patience, MAX_STOP_TIME) + STOP_MARGIN - ANSWER_MARGIN)
        # Callers go elsewhere as soon as their connections close; those with a request are answered first.
        self.close_idle_clients()
        self.timers.schedule(now + (0 if self.listener.shared else ACCEPT_PERIOD), self.stop_accepting)

    def close_idle_clients(self) -> list[ClientConnection]:
        """Closes callers' connections between requests; those that were there."""
        callers = self.client_connections(self.descriptors.connections)
        for caller in callers:
            caller.close_if_idle(clock() - ACCEPT_PERIOD)
        return callers

    def stop_accepting(self) -> None:
        self.listener.close()
        self.wait_for_callers()

    def wait_for_callers(self) -> None:
        if not self.close_idle_clients() or clock() >= self.router.shutdown_deadline + ANSWER_MARGIN // 2:
            self.done.set_result(None)
        else:
            self.timers.schedule(clock() + ANSWER_MARGIN // 30, self.wait_for_callers)


async def serve_platform(node: ServerSettings, log: Log) -> None:
    await run_server(lambda: PlatformServer(node, os.environ, log), log)


async def run_server(make: Callable[[], PlatformServer], log: Log) -> None:
    """A program, from its making until it ends."""
    loop = asyncio.get_running_loop()
    log.attach(loop)
    loop.set_exception_handler(
        lambda _, context: log("error", what=context.get("message"), why=repr(context.get("exception")))
    )
    program = make()
    # What the start made stays: no pause is spent on walking it again. Before anything is dialled: a pause
    # longer than the dialling may take would have it given up.
    gc.collect()
    gc.freeze()
    await program.start()
    await program.end()
