"""Invariants of requests between real processes, from what their peers saw.

One answer each, within its limit; nothing that must not be repeated is executed twice; each 200 holds what an
upstream made; nothing is sent to an endpoint that drains after the grace; no upstream that warms up is
overloaded. What no peer on sockets can see, as when an attempt's first byte was written, is checked in the
simulation.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

MS = 1_000
S = 1_000_000  # microseconds
LIMIT = 2 * S  # of a request
DRAIN_TIME = 1_500 * MS
SLACK = 400 * MS  # covers a loaded machine
EXCUSE_MARGIN = 1.0  # seconds before a request in which a fault of its instance excuses it
MAX_TEXT = 200  # characters of a violation
OK = 200


class ObservedRequest(NamedTuple):
    """A request that a client sent."""

    at: float  # seconds
    class_name: str
    timeout: int  # microseconds


class LoadObserver:
    """Call it as a recorder. Times are seconds of the running loop's clock."""

    def __init__(self) -> None:
        self.requests: dict[str, ObservedRequest] = {}
        self.instances: dict[str, int] = {}  # by trace id: the instance that a request was sent to
        self.answers: Counter[str] = Counter()
        self.answers_made: dict[str, set[bytes]] = {}
        self.executions: Counter[str] = Counter()  # by trace id
        self.executions_by_upstream: Counter[str] = Counter()
        self.submit_times: list[float] = []
        self.health_check_times: dict[str, list[float]] = {}
        self.draining_since: dict[str, float] = {}
        self.interruptions: dict[int, list[float]] = {}  # by instance: when it was killed or stopped
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self._handlers: dict[str, Callable[..., None]] = {
            "asked": self._request_sent,
            "made": self._answer_made,
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
        """Handle an event; see `dahliabend.simulation.recorder` for the kinds."""
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(*values)

    def interrupted(self, instance: int) -> None:
        """An instance is killed, stopped or resumed now: what it holds may have no answer in time."""
        self.interruptions.setdefault(instance, []).append(_now())

    def check_answered(self) -> None:
        """Check at the end that all requests were answered."""
        for trace_id in self.requests:
            if not self.answers[trace_id] and not self._is_excused(trace_id):
                self.violations.append(f"one answer: {trace_id} had none")

    def _is_excused(self, trace_id: str) -> bool:
        since = self.requests[trace_id].at - EXCUSE_MARGIN
        return any(at >= since for at in self.interruptions.get(self.instances[trace_id], ()))

    def _request_sent(self, trace_id: str, class_name: str, _connection: int, timeout: int) -> None:
        self.requests.setdefault(trace_id, ObservedRequest(_now(), class_name, timeout))
        self.counts["asked"] += 1

    def _answer_made(self, trace_id: str, body: bytes) -> None:
        self.answers_made.setdefault(trace_id, set()).add(body)

    def _request_executed(self, trace_id: str, upstream: str) -> None:
        now = _now()
        self.executions[trace_id] += 1
        self.executions_by_upstream[upstream] += 1
        since = self.draining_since.get(upstream)
        if since is not None and now > since + (DRAIN_TIME + SLACK) / S:
            late = now - since
            self.violations.append(f"drain: {trace_id} ran at {upstream} {late:.2f} s after it was told")
        if self.requests[trace_id].class_name == "submit":
            self.submit_times.append(now)
            if self.executions[trace_id] > 1:
                self.violations.append(f"no effect twice: {trace_id} ran {self.executions[trace_id]} times")

    def _response_received(self, trace_id: str, status: int, body: bytes) -> None:
        self.answers[trace_id] += 1
        self.counts[str(status)] += 1
        request = self.requests[trace_id]
        latency = _now() - request.at
        if self.answers[trace_id] > 1:
            self.violations.append(f"one answer: {trace_id} had {self.answers[trace_id]}")
        if status == OK and body not in self.answers_made.get(trace_id, ()):
            self.violations.append(f"whole answer: {trace_id} got what no upstream made")
        if latency > (request.timeout + SLACK) / S and not self._is_excused(trace_id):
            late = latency - request.timeout / S
            self.violations.append(f"one answer: {trace_id} late by {late:.2f} s")

    def _connection_lost(self, trace_id: str, _how: str) -> None:
        self.counts["lost"] += 1
        self._excuse_missing_answer(trace_id)

    def _client_disconnected(self, trace_id: str) -> None:
        self.counts["left"] += 1
        self._excuse_missing_answer(trace_id)

    def _excuse_missing_answer(self, trace_id: str) -> None:
        if trace_id in self.requests and self._is_excused(trace_id):
            self.answers[trace_id] += 1  # its instance was interrupted: no answer is due

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
