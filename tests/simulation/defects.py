"""Defects planted into the program, to show that the checks can fail.

    python tests/simulation/defects.py --seeds 500 --jobs 8

prints for each how many seeds were needed until a check named it.
"""

import argparse
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass

from dahliabend.discovery import endpoint_list
from dahliabend.discovery import watch as discovery
from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.serving_state import ServingState
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
    rules: tuple[str, ...]  # any of which has to be named
    kinds: tuple[str, ...] = ()  # faults that it is looked for with; all, if none is named
    seed: int = 0  # from which the tests look


@contextmanager
def instead(owner, name: str, made) -> Iterator[None]:
    own, before = name in vars(owner), vars(owner).get(name)
    setattr(owner, name, made)
    try:
        yield
    finally:
        if own:
            setattr(owner, name, before)
        else:
            delattr(owner, name)


def answer_twice():
    real = ClientConnection.send_response

    def answer(self, status, headers, body):
        real(self, status, headers, body)
        if status == 503:
            self.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    return instead(ClientConnection, "send_response", answer)


def resend_what_may_have_run():
    def may_attempt(request, now):
        has_more = len(request.attempts) < request.max_attempts
        return has_more and not request.is_body_consumed and not request.in_flight

    return instead(balancer, "may_attempt", may_attempt)


def use_those_that_drain():
    return instead(
        endpoint_list, "_STATE_NAMES", {**endpoint_list._STATE_NAMES, "draining": EndpointState.READY}
    )


def no_cold_budget():
    return instead(SlowStart, "slow_start_share", lambda self, endpoint, now, max_ready: 1.0)


def keep_a_descriptor():
    real = DescriptorBudget.release

    def release(self, number):
        if number % 5:
            real(self, number)

    return instead(DescriptorBudget, "release", release)


def keep_a_slot():
    real = Router.forget_if_finished

    def forget_if_finished(self, request):
        if not request.incoming.trace_id.endswith(b"7"):
            real(self, request)

    return instead(Router, "forget_if_finished", forget_if_finished)


def keep_a_deadline():
    def mark_finished(self):
        self.phase, self.connection = Phase.FINISHED, None
        self.endpoint.resources.timers.cancel(self.timeout_timer)
        self.endpoint.resources.timers.schedule(clock() + 3600 * S, int)

    return instead(UpstreamRequest, "mark_finished", mark_finished)


def keep_a_task():
    real = Listener.start

    async def start(self, sock, connection):
        await real(self, sock, connection)
        await self.timers.loop.create_future()

    return instead(Listener, "start", start)


def answer_late():
    real = Router.respond

    def respond(self, request, how, status, headers, body):
        if how == "succeeded":
            real(self, request, how, status, headers, body)
        else:
            self.timers.schedule(clock() + 2 * S, real, self, request, how, status, headers, body)

    return instead(Router, "respond", respond)


def two_hops_at_once():
    def give_up(self, outcome):
        if self.is_finished:
            return
        written = self.connection is not None and self.connection.is_flushed
        if self.connection is not None:
            self.connection.handler = None  # left open: the upstream goes on with it
        if self.connect_task is not None:
            self.connect_task.cancel()
        self.finish_soon(outcome if written or outcome is Outcome.CANCELLED else Outcome.UNREACHABLE)

    return instead(UpstreamRequest, "give_up", give_up)


@contextmanager
def reuse_of_a_slot():
    """Numbers that don't tell one stay from the next, and a caller that leaves with its last one."""
    real_answer, real_connection_closed = ClientConnection.send_response, ClientConnection.connection_closed

    def get(self, number):
        slot = number % self.capacity
        return self.items[slot] if slot < len(self.items) else None

    def answer(self, status, headers, body):
        self.before = self.request_handle if self.request_handle >= 0 else getattr(self, "before", -1)
        real_answer(self, status, headers, body)

    def connection_closed(self):
        real_connection_closed(self)
        if getattr(self, "before", -1) >= 0:
            self.dispatcher.client_disconnected(self.before)

    with (
        instead(HandleTable, "get", get),
        instead(ClientConnection, "send_response", answer),
        instead(ClientConnection, "connection_closed", connection_closed),
    ):
        yield


def mix_answers():
    real = UpstreamConnection.on_message_begin

    def on_message_begin(self):
        before = list(getattr(self, "body", []))
        real(self)
        self.body = before

    return instead(UpstreamConnection, "on_message_begin", on_message_begin)


def forget_exclusions_over_an_upgrade():
    real = HotRestart.exclusions
    return instead(HotRestart, "exclusions", lambda self: real(self) if self.process_key[0] < 2 else set())


def roll_back_what_may_have_run():
    def give_up(self, request, wait=0):
        request.is_answered = True
        self.cancel(request)
        self.port.reject(request.request_id, 0)

    return instead(Balancer, "give_up", give_up)


def leave_the_group():
    return instead(selection, "is_deduplicated_at", lambda request, endpoint, first: True)


def pass_on_cut_answers():
    def connection_closed(self):
        self.parser = None
        self.pool.remove_connection(self)
        handler, self.handler = self.handler, None
        if handler is not None and getattr(self, "head_complete", False):
            handler.response_complete(UpstreamResponse(200, b"", b"".join(self.body), b"", False))
        elif handler is not None:
            handler.connection_failed(self.is_flushed)

    return instead(UpstreamConnection, "connection_closed", connection_closed)


def close_callers_at_the_end():
    return instead(
        PlatformServer,
        "close_idle_clients",
        lambda self: [c.abort() for c in self.client_connections(self.descriptors.connections)],
    )


def dial_for_ever():
    real = UpstreamRequest.connect

    async def connect(self, link):
        resources = self.endpoint.resources
        before, resources.connect_timeout = resources.connect_timeout, 3600 * S
        self.expires_at = self.send_deadline = self.expires_at + 3600 * S
        try:
            await real(self, link)
        finally:
            resources.connect_timeout = before

    return instead(UpstreamRequest, "connect", connect)


@contextmanager
def heed_no_limit_of_descriptors():
    with (
        instead(DescriptorBudget, "is_full_after_eviction", lambda self, now=0: False),
        instead(DescriptorBudget, "is_exhausted", lambda self: False),
        instead(DescriptorBudget, "reserve_in_use", property(lambda self: False)),
        instead(DescriptorBudget, "mark_idle", lambda self, number, now: None),
    ):
        yield


def send_after_the_end():
    """What was given up goes out all the same, once its connection is up."""

    def give_up(self, outcome):
        if not self.is_finished and self.connect_task is not None:
            self.owner.respond(self.request, "failed", 502, b"", b"early\n")

    return instead(Attempt, "give_up", give_up)


def forget_what_is_excluded():
    """By the decisions and by the connections: either alone would keep the rule."""
    real = Router.endpoints_changed

    def endpoints_changed(self, rows, full):
        before, self.excluded = self.excluded, set()
        real(self, rows, full)
        self.excluded = before

    return instead(Router, "endpoints_changed", endpoints_changed)


def use_connections_again_at_once():
    return instead(EndpointResources, "reuse_delay", property(lambda self: 0))


@contextmanager
def send_for_those_who_have_gone():
    """What waits for its connection goes out on it, whoever waits for it still."""
    with (
        instead(Attempt, "is_awaited", lambda self: True),
        instead(UpstreamRequest, "cancel_unsent", lambda self: None),
    ):
        yield


def repeat_past_the_window():
    return instead(attempt, "deduplication_deadline", lambda state: attempt.NO_DEADLINE)


def tell_the_time_of_the_choice():
    real = Attempt.build_head
    return instead(Attempt, "build_head", lambda self, left: real(self, self.expires_at - self.started_at))


def read_on_only_when_there_is_room():
    return instead(ClientConnection, "transport_paused", lambda self: None)


def wait_for_silent_watches():
    return instead(discovery, "SILENCE_TIMEOUT", 3600 * S)


def pass_over_a_count_begun_anew():
    real = EndpointList.apply

    def apply(self, message, first):
        if int(message["version"]) > self.version or message.get("full"):
            real(self, message, first)

    return instead(EndpointList, "apply", apply)


def keep_what_a_whole_list_leaves_out():
    real = Router.endpoints_changed
    return instead(Router, "endpoints_changed", lambda self, rows, full: real(self, rows, False))


def serve_on_what_was_shut():
    """A connection that lingers reads on as if nothing had ended."""
    real = ClientConnection.linger

    def linger(self):
        real(self)
        self.state = ServingState.WAITING

    return instead(ClientConnection, "linger", linger)


def wait_for_discovery():
    """Ready only once a watch has been heard, whatever was known at the start."""
    real = Router.ready
    heard = discovery.WatchState.ACTIVE
    return instead(Router, "ready", lambda self: real(self) and self.discovery.state is heard)


def turn_all_away_after_a_while():
    real = Balancer.admit

    def admit(self, now, *arguments, **more):
        self.crowded = getattr(self, "crowded", now)
        if now - self.crowded >= 3 * S:
            self.concurrency.limit = 0.0
        return real(self, now, *arguments, **more)

    return instead(Balancer, "admit", admit)


def leave_out_the_rest():
    return instead(KeyQueues, "pause", lambda self, request, now: None)


def forget_the_line_at_a_time_out():
    return instead(KeyQueues, "pause", lambda self, request, now: self.queues.pop(request.key, None))


def last_come_first_served():
    def turns_ahead(self, key):
        if queue := self.queues.get(key):
            queue.current, queue.paused_until = None, 0
        return 0

    return instead(KeyQueues, "turns_ahead", turns_ahead)


DEFECTS = {
    "a key's rest left out": Defect(leave_out_the_rest, ("order",)),
    "a key's line forgotten at a time-out": Defect(forget_the_line_at_a_time_out, ("order",)),
    "a key's turns not waited for": Defect(last_come_first_served, ("order",)),
    "answer twice": Defect(answer_twice, ("one answer",)),
    "resend of what may have run": Defect(resend_what_may_have_run, ("no effect twice",)),
    "those that drain are used": Defect(use_those_that_drain, ("drain",)),
    "no budget for cold ones": Defect(no_cold_budget, ("cold",), ("crash", "restart", "crowd"), 190),
    "a leaked descriptor": Defect(keep_a_descriptor, ("left behind", "descriptors")),
    "a leaked slot": Defect(keep_a_slot, ("left behind",)),
    "a leaked deadline": Defect(keep_a_deadline, ("left behind",)),
    "a leaked task": Defect(keep_a_task, ("left behind",)),
    "a late answer": Defect(answer_late, ("one answer",)),
    "two hops at once": Defect(two_hops_at_once, ("two at once",)),
    "a reused slot takes an old event": Defect(reuse_of_a_slot, ("one answer",)),
    "bytes mixed between answers": Defect(mix_answers, ("whole answer",)),
    "exclusion forgotten over an upgrade": Defect(
        forget_exclusions_over_an_upgrade, ("exclusion",), ("upgrade", "exclude"), 58
    ),
    "exclusion forgotten at the next list": Defect(
        forget_what_is_excluded, ("exclusion",), ("exclude", "flap")
    ),
    "rollback of what may have run": Defect(roll_back_what_may_have_run, ("rollback",)),
    "journalled, resent outside its group": Defect(leave_the_group, ("no effect twice",)),
    "cut answers passed on": Defect(pass_on_cut_answers, ("whole answer",), ("garble", "crash", "reset")),
    "callers closed at SIGTERM": Defect(close_callers_at_the_end, ("one answer",), seed=25),
    "a connect without an end": Defect(dial_for_ever, ("one answer",), seed=70),
    "descriptors without a limit": Defect(
        heed_no_limit_of_descriptors, ("descriptors",), ("crowd", "rude", "hang"), 50
    ),
    "connections used again at once": Defect(use_connections_again_at_once, ("whole answer",), ("twice",)),
    "sent for those who have gone": Defect(send_for_those_who_have_gone, ("after the end",), ("slow-dial",)),
    "repeats past their window": Defect(repeat_past_the_window, ("no effect twice",), ("slow-dial",), 20),
    "the time of the choice told": Defect(tell_the_time_of_the_choice, ("time told",), ("slow-dial",)),
    "a leaving behind unread bytes": Defect(read_on_only_when_there_is_room, ("after the end",), ("flood",)),
    "silent watches waited for": Defect(wait_for_silent_watches, ("told in time",), ("deaf",)),
    "a count begun anew passed over": Defect(pass_over_a_count_begun_anew, ("told in time",), ("anew",)),
    "what a whole list leaves out is kept": Defect(keep_what_a_whole_list_leaves_out, ("drain",), ("whole",)),
    "what was shut served on": Defect(serve_on_what_was_shut, ("after the shutdown",), ("behind",)),
    "not ready without discovery": Defect(wait_for_discovery, ("ready",), ("away",)),
    "all turned away after a while": Defect(turn_all_away_after_a_while, ("serves nobody",), ("deaf",)),
    "no budget for cold ones, of many balancers": Defect(no_cold_budget, ("cold",), ("crash", "crowd"), 100),
    "an answer before its hop has ended": Defect(
        send_after_the_end, ("after the end", "left behind"), seed=30
    ),
}


# Scripts in `regressions`, each shrunk from a run with the mend taken out, and what stands for that.
SHOWN = {
    "second-answer-on-a-used-connection": "connections used again at once",
    "client-gone-while-the-connection-comes-up": "sent for those who have gone",
    "time-told-before-the-connection-was-up": "the time of the choice told",
    "repeat-after-its-window": "repeats past their window",
    "client-gone-behind-unread-bytes": "a leaving behind unread bytes",
    "watch-silent-for-good": "silent watches waited for",
    "count-begun-anew": "a count begun anew passed over",
    "whole-list-leaves-out-what-drains": "what a whole list leaves out is kept",
}


def caught(name: str, seeds: range) -> sweep.SeedResult | None:
    """The first of these seeds at which a check names that defect."""
    defect = DEFECTS[name]
    with defect.plant():
        return next(
            sweep.matching_runs(lambda seen: bool(set(defect.rules) & set(seen.rules)), seeds, defect.kinds),
            None,
        )


def need(name: str, count: int) -> tuple[str, sweep.SeedResult | None]:
    return name, caught(name, range(count))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=8)
    given = parser.parse_args()
    missed = 0
    print("| defect | seeds needed | rule named |\n| --- | --- | --- |")
    with ProcessPoolExecutor(given.jobs) as pool:
        for name, seen in pool.map(need, DEFECTS, [given.seeds] * len(DEFECTS)):
            if seen is None:
                missed += 1
                print(f"| {name} | not in {given.seeds} | |", flush=True)
            else:
                rule = sorted(set(DEFECTS[name].rules) & set(seen.rules))
                print(f"| {name} | {seen.seed + 1} | {', '.join(rule)} |", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
