"""Invariants of requests between real processes, as observed by clients, upstreams and discovery.

Each request has one response within its time limit; no non-idempotent request is executed twice; the body of
each 200 was produced by an upstream; no request is sent to a draining endpoint after the drain time; no
upstream is overloaded during its warm-up. What peers cannot observe on sockets, such as when the first byte
of an attempt was written, is checked in the simulation.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

MS = 1_000  # microseconds in a millisecond
S = 1_000_000  # microseconds in a second
REQUEST_TIMEOUT = 2 * S
DRAIN_TIME = 1_500 * MS
TOLERANCE = 400 * MS  # for a loaded machine
EXCUSE_MARGIN = 1.0  # seconds; an interruption excuses a request from this long before it, at any later time
MAX_TEXT = 200  # characters of a violation text
OK = 200


class ObservedRequest(NamedTuple):
    """A request that a client sent."""

    at: float  # seconds
    class_name: str
    timeout: int  # microseconds


class LoadObserver:
    """Checks the events of clients, upstreams and discovery; it is called as their recorder.

    Times are in seconds of the running loop's clock.
    """

    def __init__(self) -> None:
        self.requests: dict[str, ObservedRequest] = {}
        self.instances: dict[str, int] = {}  # by trace id: the instance that a request was sent to
        self.responses: Counter[str] = Counter()  # by trace id
        self.upstream_bodies: dict[str, set[bytes]] = {}  # by trace id: bodies that upstreams sent
        self.executions: Counter[str] = Counter()  # by trace id
        self.executions_by_upstream: Counter[str] = Counter()
        self.submit_times: list[float] = []  # of executions
        self.health_check_times: dict[str, list[float]] = {}  # by upstream
        self.draining_since: dict[str, float] = {}  # by upstream
        self.interruptions: dict[int, list[float]] = {}  # by instance: when it was killed, stopped or resumed
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._handlers: dict[str, Callable[..., None]] = {
            "asked": self._request_sent,
            "made": self._response_made,
            "effect": self._request_executed,
            "answer": self._response_received,
            "lost": self._connection_lost,
            "left": self._client_disconnected,
            "toppled": self._upstream_overloaded,
            "told": self._state_announced,
            "probed": self._health_checked,
            "extra": self._unexpected_data,
            "spoilt": self._response_unreadable,
        }

    def __call__(self, kind: str, *values: object) -> None:
        """Handle an event of a kind that `dahliabend.simulation.recorder` documents."""
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(*values)

    def record_interruption(self, instance: int) -> None:
        """Record that an instance is killed, stopped or resumed; its requests may lack a response in time."""
        self.interruptions.setdefault(instance, []).append(_now())

    def check_answered(self) -> None:
        """Check at the end that all requests were answered."""
        for trace_id in self.requests:
            if not self.responses[trace_id] and not self._is_excused(trace_id):
                self.violations.append(f"one answer: {trace_id} had none")

    def _is_excused(self, trace_id: str) -> bool:
        since = self.requests[trace_id].at - EXCUSE_MARGIN
        return any(at >= since for at in self.interruptions.get(self.instances[trace_id], ()))

    def _request_sent(self, trace_id: str, class_name: str, _connection: int, timeout: int) -> None:
        self.requests.setdefault(trace_id, ObservedRequest(_now(), class_name, timeout))
        self.counts["asked"] += 1

    def _response_made(self, trace_id: str, body: bytes) -> None:
        self.upstream_bodies.setdefault(trace_id, set()).add(body)

    def _request_executed(self, trace_id: str, upstream: str) -> None:
        now = _now()
        self.executions[trace_id] += 1
        self.executions_by_upstream[upstream] += 1
        since = self.draining_since.get(upstream)
        if since is not None and now > since + (DRAIN_TIME + TOLERANCE) / S:
            delay = now - since
            self.violations.append(f"drain: {trace_id} ran at {upstream} {delay:.2f} s after it was told")
        if self.requests[trace_id].class_name == "submit":
            self.submit_times.append(now)
            if self.executions[trace_id] > 1:
                self.violations.append(f"no effect twice: {trace_id} ran {self.executions[trace_id]} times")

    def _response_received(self, trace_id: str, status: int, body: bytes) -> None:
        self.responses[trace_id] += 1
        self.counts[str(status)] += 1
        request = self.requests[trace_id]
        latency = _now() - request.at
        if self.responses[trace_id] > 1:
            self.violations.append(f"one answer: {trace_id} had {self.responses[trace_id]}")
        if status == OK and body not in self.upstream_bodies.get(trace_id, ()):
            self.violations.append(f"whole answer: {trace_id} got what no upstream made")
        if latency > (request.timeout + TOLERANCE) / S and not self._is_excused(trace_id):
            late = latency - request.timeout / S
            self.violations.append(f"one answer: {trace_id} late by {late:.2f} s")

    def _connection_lost(self, trace_id: str, _how: str) -> None:
        self.counts["lost"] += 1
        self._excuse_missing_response(trace_id)

    def _client_disconnected(self, trace_id: str) -> None:
        self.counts["left"] += 1
        self._excuse_missing_response(trace_id)

    def _excuse_missing_response(self, trace_id: str) -> None:
        if trace_id in self.requests and self._is_excused(trace_id):
            self.responses[trace_id] += 1  # no response is required, as the instance was interrupted

    def _upstream_overloaded(self, upstream: str, times: float) -> None:
        self.violations.append(f"cold: {upstream} fell over, sent {times:.1f} times what it bears")

    def _state_announced(self, _process: str, upstream: str, state: str) -> None:
        if state == "draining":
            self.draining_since.setdefault(upstream, _now())
        elif state == "up":
            self.draining_since.pop(upstream, None)

    def _health_checked(self, upstream: str) -> None:
        self.health_check_times.setdefault(upstream, []).append(_now())

    def _unexpected_data(self, *values: object) -> None:
        self.violations.append(f"one answer: extra {values}"[:MAX_TEXT])

    def _response_unreadable(self, *values: object) -> None:
        self.violations.append(f"one answer: spoilt {values}"[:MAX_TEXT])


def _now() -> float:
    return asyncio.get_running_loop().time()
