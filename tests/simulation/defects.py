"""Defects that are planted into the balancer, to show that the invariants detect them.

    python tests/simulation/defects.py --seeds 500 --jobs 8

prints for each defect how many seeds were run until an invariant was violated.
"""

import argparse
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from dahliabend.discovery import endpoint_list
from dahliabend.discovery import watch as discovery
from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.serving_state import ServingState
from dahliabend.http.streaming import StreamingBody
from dahliabend.http.upstream_connection import UpstreamConnection, UpstreamResponse
from dahliabend.model import EndpointState, Outcome
from dahliabend.policy import balancer, selection
from dahliabend.policy.balancer import Balancer
from dahliabend.policy.key_order import KeyQueues
from dahliabend.policy.slow_start import SlowStart
from dahliabend.proxy import attempt
from dahliabend.proxy.attempt import Attempt
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.proxy.router import Router
from dahliabend.proxy.upstream_request import Phase, UpstreamRequest
from dahliabend.server.hot_restart import HotRestart
from dahliabend.server.platform_server import PlatformServer
from dahliabend.simulation import sweep
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.handles import HandleTable
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import clock

S = 1_000_000


@dataclass(frozen=True, slots=True)
class Defect:
    plant: Callable
    rules: tuple[str, ...]  # at least one of these has to be violated
    kinds: tuple[str, ...] = ()  # faults of the scenarios that are run; empty: all
    seed: int = 0  # first seed that the tests run


@contextmanager
def replace_attribute(owner, name: str, replacement) -> Iterator[None]:
    had_own_value, previous_value = name in vars(owner), vars(owner).get(name)
    setattr(owner, name, replacement)
    try:
        yield
    finally:
        if had_own_value:
            setattr(owner, name, previous_value)
        else:
            delattr(owner, name)


def send_second_response():
    original = ClientConnection.send_response

    def send_response(self, status, headers, body):
        original(self, status, headers, body)
        if status == 503:
            self.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    return replace_attribute(ClientConnection, "send_response", send_response)


def retry_after_possible_execution():
    def may_attempt(request, now):
        has_more = len(request.attempts) < request.max_attempts
        return has_more and not request.is_body_consumed and not request.in_flight

    return replace_attribute(balancer, "may_attempt", may_attempt)


def use_draining_endpoints():
    return replace_attribute(
        endpoint_list, "_STATE_NAMES", {**endpoint_list._STATE_NAMES, "draining": EndpointState.READY}
    )


def disable_slow_start():
    return replace_attribute(SlowStart, "slow_start_share", lambda self, endpoint, now, max_ready: 1.0)


def leak_descriptors():
    original = DescriptorBudget.release

    def release(self, number):
        if number % 5:
            original(self, number)

    return replace_attribute(DescriptorBudget, "release", release)


def leak_request_slots():
    original = Router.forget_if_finished

    def forget_if_finished(self, request):
        if not request.incoming.trace_id.endswith(b"7"):
            original(self, request)

    return replace_attribute(Router, "forget_if_finished", forget_if_finished)


def leak_timers():
    def mark_finished(self):
        self.phase, self.connection = Phase.FINISHED, None
        self.endpoint.resources.timers.cancel(self.timeout_timer)
        self.endpoint.resources.timers.schedule(clock() + 3600 * S, int)

    return replace_attribute(UpstreamRequest, "mark_finished", mark_finished)


def leak_task():
    original = Listener.start

    async def start(self, sock, connection):
        await original(self, sock, connection)
        await self.timers.loop.create_future()

    return replace_attribute(Listener, "start", start)


def delay_failure_responses():
    original = Router.respond

    def respond(self, request, how, status, headers, body):
        if how == "succeeded":
            original(self, request, how, status, headers, body)
        else:
            self.timers.schedule(clock() + 2 * S, original, self, request, how, status, headers, body)

    return replace_attribute(Router, "respond", respond)


def leave_given_up_attempts_open():
    def give_up(self, outcome):
        if self.is_finished:
            return
        is_flushed = self.connection is not None and self.connection.is_flushed
        if self.connection is not None:
            self.connection.handler = None  # left open, so the upstream continues with it
        if self.connect_task is not None:
            self.connect_task.cancel()
        self.finish_soon(outcome if is_flushed or outcome is Outcome.CANCELLED else Outcome.UNREACHABLE)

    return replace_attribute(UpstreamRequest, "give_up", give_up)


@contextmanager
def accept_stale_handles():
    """Handles without a check of their generation, and a client that cancels its previous request too."""
    original_send_response, original_connection_closed = (
        ClientConnection.send_response,
        ClientConnection.connection_closed,
    )

    def get(self, number):
        slot = number % self.capacity
        return self.items[slot] if slot < len(self.items) else None

    def send_response(self, status, headers, body):
        self.previous_handle = (
            self.request_handle if self.request_handle >= 0 else getattr(self, "previous_handle", -1)
        )
        original_send_response(self, status, headers, body)

    def connection_closed(self):
        original_connection_closed(self)
        if getattr(self, "previous_handle", -1) >= 0:
            self.dispatcher.client_disconnected(self.previous_handle)

    with (
        replace_attribute(HandleTable, "get", get),
        replace_attribute(ClientConnection, "send_response", send_response),
        replace_attribute(ClientConnection, "connection_closed", connection_closed),
    ):
        yield


def mix_response_bodies():
    original = UpstreamConnection.on_message_begin

    def on_message_begin(self):
        previous_body = bytearray(getattr(self, "body", b""))
        original(self)
        self.body = previous_body

    stack = ExitStack()
    stack.enter_context(replace_attribute(UpstreamConnection, "on_message_begin", on_message_begin))
    stack.enter_context(replace_attribute(UpstreamConnection, "_drop_response", lambda self: None))
    return stack


def lose_exclusions_in_hot_restart():
    original = HotRestart.exclusions
    return replace_attribute(
        HotRestart, "exclusions", lambda self: original(self) if self.process_key[0] < 2 else set()
    )


def reject_after_possible_execution():
    def give_up(self, request, wait=0):
        request.is_answered = True
        self.cancel(request)
        self.port.reject(request.request_id, 0)

    return replace_attribute(Balancer, "give_up", give_up)


def ignore_deduplication_scope():
    return replace_attribute(selection, "is_deduplicated_at", lambda request, endpoint, first: True)


def forward_truncated_responses():
    def connection_closed(self):
        self.parser = None
        self.owner.remove_connection(self)
        handler, self.handler = self.handler, None
        if handler is not None and getattr(self, "head_complete", False):
            handler.response_complete(UpstreamResponse(200, b"", bytes(self.body), b"", False))
        elif handler is not None:
            handler.connection_failed(self.is_flushed)

    return replace_attribute(UpstreamConnection, "connection_closed", connection_closed)


def abort_clients_on_shutdown():
    return replace_attribute(
        PlatformServer,
        "close_idle_clients",
        lambda self: [c.abort() for c in self.client_connections(self.descriptors.connections)],
    )


def disable_connect_timeout():
    original = UpstreamRequest.connect

    async def connect(self, link):
        resources = self.endpoint.resources
        configured_timeout, resources.connect_timeout = resources.connect_timeout, 3600 * S
        self.expires_at = self.send_deadline = self.expires_at + 3600 * S
        try:
            await original(self, link)
        finally:
            resources.connect_timeout = configured_timeout

    return replace_attribute(UpstreamRequest, "connect", connect)


@contextmanager
def ignore_descriptor_limit():
    with (
        replace_attribute(DescriptorBudget, "is_full_after_eviction", lambda self, now=0: False),
        replace_attribute(DescriptorBudget, "is_exhausted", lambda self: False),
        replace_attribute(DescriptorBudget, "reserve_in_use", property(lambda self: False)),
        replace_attribute(DescriptorBudget, "mark_idle", lambda self, number, now: None),
    ):
        yield


def respond_before_the_attempt_ends():
    """An attempt that is given up while it connects is still sent, after its request was answered."""

    def give_up(self, outcome):
        if not self.is_finished and self.connect_task is not None:
            self.owner.respond(self.request, "failed", 502, b"", b"early\n")

    return replace_attribute(Attempt, "give_up", give_up)


def lose_exclusions_on_list_update():
    """Both the policy and the router lose the exclusions: either of them alone would respect them."""
    original = Router.endpoints_changed

    def endpoints_changed(self, rows, full):
        excluded, self.excluded = self.excluded, set()
        original(self, rows, full)
        self.excluded = excluded

    return replace_attribute(Router, "endpoints_changed", endpoints_changed)


def reuse_connections_immediately():
    return replace_attribute(EndpointResources, "reuse_delay", property(lambda self: 0))


@contextmanager
def send_unawaited_attempts():
    """An attempt is sent once its connection is up, even if its client has disconnected."""
    with (
        replace_attribute(Attempt, "is_awaited", lambda self: True),
        replace_attribute(UpstreamRequest, "cancel_unsent", lambda self: None),
    ):
        yield


def retry_after_deduplication_window():
    return replace_attribute(attempt, "deduplication_deadline", lambda state: attempt.NO_DEADLINE)


def announce_time_left_at_selection():
    original = Attempt.build_head
    return replace_attribute(
        Attempt, "build_head", lambda self, left: original(self, self.expires_at - self.started_at)
    )


def disable_hangup_detection():
    stack = ExitStack()
    stack.enter_context(replace_attribute(ClientConnection, "transport_paused", lambda self: None))
    stack.enter_context(replace_attribute(ClientConnection, "peer_has_closed", lambda self: False))
    return stack


def disable_silence_timeout():
    return replace_attribute(discovery, "SILENCE_TIMEOUT", 3600 * S)


def ignore_restarted_versions():
    original = EndpointList.apply

    def apply(self, message, first):
        if int(message["version"]) > self.version or message.get("full"):
            original(self, message, first)

    return replace_attribute(EndpointList, "apply", apply)


def keep_entries_missing_from_full_list():
    original = Router.endpoints_changed
    return replace_attribute(
        Router, "endpoints_changed", lambda self, rows, full: original(self, rows, False)
    )


def serve_lingering_connections():
    """A connection that lingers after its shutdown serves further requests."""
    original = ClientConnection.linger

    def linger(self):
        original(self)
        self.state = ServingState.WAITING

    return replace_attribute(ClientConnection, "linger", linger)


def require_a_watch_for_readiness():
    """The balancer becomes ready only once a watch is active, whatever endpoints it knew at its start."""
    original = Router.ready
    active_state = discovery.WatchState.ACTIVE
    return replace_attribute(
        Router, "ready", lambda self: original(self) and self.discovery.state is active_state
    )


def reject_everything_after_a_while():
    original = Balancer.admit

    def admit(self, now, *arguments, **keywords):
        self.first_admission_at = getattr(self, "first_admission_at", now)
        if now - self.first_admission_at >= 3 * S:
            self.concurrency.limit = 0.0
        return original(self, now, *arguments, **keywords)

    return replace_attribute(Balancer, "admit", admit)


def count_from_the_last_byte_read():
    """The client's time runs from when the last byte of its body was read, not from when it may have come."""

    def suspend_source(self):
        self.source.suspend_reading()

    return replace_attribute(StreamingBody, "_suspend_source", suspend_source)


def leave_reading_suspended():
    """Reading that was suspended when a body ended is not resumed."""
    original = StreamingBody.mark_complete

    def mark_complete(self):
        with replace_attribute(self.source, "resume_reading", lambda: None):
            original(self)

    return replace_attribute(StreamingBody, "mark_complete", mark_complete)


def skip_key_pause():
    return replace_attribute(KeyQueues, "pause", lambda self, request, now: None)


def drop_key_queue_on_timeout():
    return replace_attribute(
        KeyQueues, "pause", lambda self, request, now: self.queues.pop(request.key, None)
    )


def ignore_key_order():
    def queue_position(self, key):
        if queue := self.queues.get(key):
            queue.current, queue.paused_until = None, 0
        return 0

    return replace_attribute(KeyQueues, "queue_position", queue_position)


DEFECTS = {
    "a key's rest left out": Defect(skip_key_pause, ("order",)),
    "a key's line forgotten at a time-out": Defect(drop_key_queue_on_timeout, ("order",)),
    "a key's turns not waited for": Defect(ignore_key_order, ("order",)),
    "answer twice": Defect(send_second_response, ("one answer",)),
    "resend of what may have run": Defect(retry_after_possible_execution, ("no effect twice",)),
    "those that drain are used": Defect(use_draining_endpoints, ("drain",)),
    "no budget for cold ones": Defect(disable_slow_start, ("cold",), ("crash", "restart", "crowd"), 190),
    "a leaked descriptor": Defect(leak_descriptors, ("left behind", "descriptors")),
    "a leaked slot": Defect(leak_request_slots, ("left behind",)),
    "a leaked deadline": Defect(leak_timers, ("left behind",)),
    "a leaked task": Defect(leak_task, ("left behind",)),
    "a late answer": Defect(delay_failure_responses, ("one answer",)),
    "two hops at once": Defect(leave_given_up_attempts_open, ("two at once",)),
    "a reused slot takes an old event": Defect(accept_stale_handles, ("one answer",)),
    "bytes mixed between answers": Defect(mix_response_bodies, ("whole answer",)),
    "exclusion forgotten over an upgrade": Defect(
        lose_exclusions_in_hot_restart, ("exclusion",), ("upgrade", "exclude"), 58
    ),
    "exclusion forgotten at the next list": Defect(
        lose_exclusions_on_list_update, ("exclusion",), ("exclude", "flap")
    ),
    "rollback of what may have run": Defect(reject_after_possible_execution, ("rollback",)),
    "journalled, resent outside its group": Defect(ignore_deduplication_scope, ("no effect twice",)),
    "cut answers passed on": Defect(
        forward_truncated_responses, ("whole answer",), ("garble", "crash", "reset")
    ),
    "callers closed at SIGTERM": Defect(abort_clients_on_shutdown, ("one answer",), seed=25),
    "a connect without an end": Defect(disable_connect_timeout, ("one answer",), seed=70),
    "descriptors without a limit": Defect(
        ignore_descriptor_limit, ("descriptors",), ("crowd", "rude", "hang"), 50
    ),
    "connections used again at once": Defect(reuse_connections_immediately, ("whole answer",), ("twice",)),
    "sent for those who have gone": Defect(send_unawaited_attempts, ("after the end",), ("slow-dial",)),
    "repeats past their window": Defect(
        retry_after_deduplication_window, ("no effect twice",), ("slow-dial",), 20
    ),
    "the time of the choice told": Defect(announce_time_left_at_selection, ("time told",), ("slow-dial",)),
    "a client's time from the last byte read": Defect(
        count_from_the_last_byte_read, ("one answer",), ("slow-read",)
    ),
    "reading left suspended after a body": Defect(leave_reading_suspended, ("one answer",), ("slow-read",)),
    "a leaving behind unread bytes": Defect(disable_hangup_detection, ("after the end",), ("flood",)),
    "silent watches waited for": Defect(disable_silence_timeout, ("told in time",), ("deaf",)),
    "a count begun anew passed over": Defect(ignore_restarted_versions, ("told in time",), ("anew",)),
    "what a whole list leaves out is kept": Defect(
        keep_entries_missing_from_full_list, ("drain",), ("whole",)
    ),
    "what was shut served on": Defect(serve_lingering_connections, ("after the shutdown",), ("behind",)),
    "not ready without discovery": Defect(require_a_watch_for_readiness, ("ready",), ("away",)),
    "all turned away after a while": Defect(reject_everything_after_a_while, ("serves nobody",), ("deaf",)),
    "no budget for cold ones, of many balancers": Defect(
        disable_slow_start, ("cold",), ("crash", "crowd"), 100
    ),
    "an answer before its hop has ended": Defect(
        respond_before_the_attempt_ends, ("after the end", "left behind"), seed=30
    ),
}


# Scenarios in `regressions`, each shrunk from a run without a fix, and the defect that undoes this fix.
DEFECT_BY_SCRIPT = {
    "second-answer-on-a-used-connection": "connections used again at once",
    "client-gone-while-the-connection-comes-up": "sent for those who have gone",
    "time-told-before-the-connection-was-up": "the time of the choice told",
    "repeat-after-its-window": "repeats past their window",
    "connection-not-read-after-a-long-body": "reading left suspended after a body",
    "slow-reader-holds-client": "a client's time from the last byte read",
    "client-gone-behind-unread-bytes": "a leaving behind unread bytes",
    "watch-silent-for-good": "silent watches waited for",
    "count-begun-anew": "a count begun anew passed over",
    "whole-list-leaves-out-what-drains": "what a whole list leaves out is kept",
}


def first_detection(name: str, seeds: range) -> sweep.SeedResult | None:
    """Return the result of the first of these seeds at which an invariant detects the defect."""
    defect = DEFECTS[name]
    with defect.plant():
        return next(
            sweep.matching_runs(
                lambda detection: bool(set(defect.rules) & set(detection.rules)), seeds, defect.kinds
            ),
            None,
        )


def detect_from_first_seed(name: str, count: int) -> tuple[str, sweep.SeedResult | None]:
    return name, first_detection(name, range(count))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=8)
    options = parser.parse_args()
    undetected_count = 0
    print("| defect | seeds needed | rule named |\n| --- | --- | --- |")
    with ProcessPoolExecutor(options.jobs) as pool:
        for name, detection in pool.map(detect_from_first_seed, DEFECTS, [options.seeds] * len(DEFECTS)):
            if detection is None:
                undetected_count += 1
                print(f"| {name} | not in {options.seeds} | |", flush=True)
            else:
                rule = sorted(set(DEFECTS[name].rules) & set(detection.rules))
                print(f"| {name} | {detection.seed + 1} | {', '.join(rule)} |", flush=True)
    return 1 if undetected_count else 0


if __name__ == "__main__":
    sys.exit(main())
