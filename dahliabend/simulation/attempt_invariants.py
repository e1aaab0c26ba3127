"""Invariants on the attempts that balancers send: none after the end, none twice, and in order of keys."""

from collections.abc import Callable

from dahliabend.simulation.endpoint_invariants import EndpointInvariants
from dahliabend.simulation.observed_run import (
    TIME_TOLERANCE,
    AttemptRecord,
    ObservedRun,
    RequestRecord,
)
from dahliabend.simulation.recorder import Recorder

MAX_DISCONNECT_DELAY = 100_000  # microseconds until a client's disconnecting has to be known
MAX_EXCESS_TIME = 150_000  # microseconds by which a deadline sent to an upstream may exceed the true one
ARRIVAL_TOLERANCE = 300_000  # microseconds by which a request has to be earlier to come first
MIRROR_SUFFIX = "-m"  # of the trace id of a mirrored request


class AttemptInvariants:
    """Follows the attempts of all balancers."""

    def __init__(self, run: ObservedRun, recorder: Recorder, endpoints: EndpointInvariants) -> None:
        self.run = run
        self.endpoints = endpoints
        self._requests_by_key: dict[str, list[RequestRecord]] = {}  # those that are not settled
        handlers: dict[str, Callable[..., None]] = {
            "keyed": self.key_set,
            "hop.head": self.attempt_started,
            "hop.told": self.deadline_announced,
            "hop.whole": self.attempt_sent,
            "unrun": self.attempt_rejected,
            "done": self.attempt_answered,
            "gave": self.answer_sent,
            "torn": self.connection_reset,
        }
        for kind, handler in handlers.items():
            recorder.subscribe(kind, handler)

    def key_set(self, trace_id: str, key: str) -> None:
        """A request has an ordering key."""
        request = self.run.requests[trace_id]
        if not request.key:  # else it is sent once more
            request.key = key
            self._requests_by_key.setdefault(key, []).append(request)

    def attempt_started(
        self, trace_id: str, balancer: str, upstream: str, connection: int, started_at: int
    ) -> None:
        """The head of an attempt is written; `started_at`: when its first byte was."""
        run = self.run
        run.counts["hops"] += 1
        request = run.requests.get(trace_id)
        if request is None:
            self._check_unknown_request(trace_id, upstream)
            return
        self._check_request_is_open(request, upstream, started_at)
        run.rejection_streaks.pop(balancer, None)
        self.endpoints.check_attempt(trace_id, balancer, upstream, started_at)
        cell, zone = run.upstream_locations[upstream]
        attempt = AttemptRecord(upstream, balancer, connection, run.now, cell, zone)
        self._check_earlier_attempts(request, attempt, started_at)
        if request.key:
            self._check_order(request, balancer, upstream, started_at)
        request.attempts.append(attempt)

    def _check_unknown_request(self, trace_id: str, upstream: str) -> None:
        mirrored = None
        if trace_id.endswith(MIRROR_SUFFIX):
            mirrored = self.run.requests.get(trace_id.removesuffix(MIRROR_SUFFIX))
        if mirrored is None:
            self.run.report("bytes", f"a request came to {upstream} that no caller sent: {trace_id!r}")
        elif mirrored.request_class.semantics != "idempotent":
            name = f"{mirrored.trace_id} ({mirrored.request_class.name})"
            self.run.report("no effect twice", f"{name} was mirrored to {upstream}")

    def _check_request_is_open(self, request: RequestRecord, upstream: str, started_at: int) -> None:
        """Nothing is sent after the end of a request, or for what came on a connection after its shutdown."""
        run = self.run
        trace_id = request.trace_id
        if request.answered_at and started_at > request.answered_at:
            run.report("after the end", f"{trace_id}: sent to {upstream} after its final answer")
        if request.disconnected_at and not run.excused_until(request):
            known_at = self._disconnect_arrived_at(request) + MAX_DISCONNECT_DELAY
            if started_at > known_at:
                run.report("after the end", f"{trace_id}: sent to {upstream} long after its caller left")
        client_end = run.connections.get(request.connection)
        if client_end is not None and 0 < client_end.peer.closed_at < request.first_byte_at:
            run.report("after the shutdown", f"{trace_id}: sent to {upstream}, asked on what had been shut")

    def _disconnect_arrived_at(self, request: RequestRecord) -> int:
        """When the end of the client's connection came to the balancer's machine, read or not.

        Behind bytes for which there is no room it does not come, and the balancer cannot know of it.
        """
        client_end = self.run.connections.get(request.connection)
        if client_end is None:  # both ends were closed long ago
            return request.disconnected_at
        balancer_end = client_end.peer
        return max(
            request.disconnected_at, balancer_end.peer_end_seen_at or balancer_end.closed_at or self.run.now
        )

    def _check_earlier_attempts(
        self, request: RequestRecord, attempt: AttemptRecord, started_at: int
    ) -> None:
        """One attempt at a time, and no repetition that the class forbids."""
        run = self.run
        for earlier in request.attempts:
            is_hedge = request.request_class.may_hedge and len(request.attempts) == 1
            if not (earlier.is_answered or run.has_ended(earlier) or is_hedge):
                text = f"{request.trace_id}: sent to {attempt.upstream} while out at {earlier.upstream}"
                run.report("two at once", text)
            if earlier.may_have_executed:
                self._check_repetition(request, earlier, attempt, started_at)

    def _check_repetition(
        self, request: RequestRecord, earlier: AttemptRecord, attempt: AttemptRecord, started_at: int
    ) -> None:
        """A request is sent again although an earlier attempt may have been executed."""
        rules = request.request_class
        sent = f"{request.trace_id}: sent"
        problem = ""
        if rules.semantics == "at_most_once":
            problem = f"{sent} to {attempt.upstream}, may have run at {earlier.upstream}"
        elif rules.semantics == "deduplicated":
            is_same_group = (
                rules.group == "all"
                or (rules.group == "cell" and attempt.cell == earlier.cell)
                or (rules.group == "zone" and attempt.zone == earlier.zone)
            )
            if not is_same_group:
                problem = f"{sent} outside its group, to {attempt.upstream}"
            elif started_at > earlier.started_at + rules.deduplication_window + TIME_TOLERANCE:
                problem = f"{sent} to {attempt.upstream} past its window"
        if problem:
            self.run.report("no effect twice", problem)

    def _check_order(self, request: RequestRecord, balancer: str, upstream: str, started_at: int) -> None:
        """Of one key and process, one attempt is sent at a time, in the order in which requests came.

        After an attempt that may go on at its upstream, the next one waits for the key's rest.
        """
        run = self.run
        key = request.key
        unsettled = [queued for queued in self._requests_by_key[key] if not self._is_settled(queued)]
        self._requests_by_key[key] = unsettled
        sent = f"{request.trace_id}: sent to {upstream}"
        for other_request in unsettled:
            if other_request is request:
                continue
            for attempt in other_request.attempts:
                if attempt.balancer != balancer or attempt.is_answered:
                    continue
                if not run.has_ended(attempt):
                    run.report("order", f"{sent} while {other_request.trace_id} is out")
                elif attempt.sent_at and started_at < run.closed_at(attempt) + run.key_pause:
                    run.report("order", f"{sent}, {key} still rests")
            if self._has_overtaken(request, other_request, balancer):
                # The other's own answer may be under way: an early rejection may come out of order.
                run.scheduler.call_at(
                    run.now + TIME_TOLERANCE, None, self._check_overtaken, request, other_request, upstream
                )

    def _has_overtaken(self, request: RequestRecord, other_request: RequestRecord, balancer: str) -> bool:
        """Whether another request came clearly earlier to the same process, and still waits."""
        run = self.run
        is_waiting = other_request.written_at and not (
            other_request.is_finished or other_request.attempts or request.attempts
        )
        if not is_waiting or other_request.written_at + ARRIVAL_TOLERANCE > request.written_at:
            return False
        client_end = run.connections.get(other_request.connection)
        is_accepted = client_end is not None and client_end.peer.sock is not None
        if not is_accepted or run.process_serving(other_request) != balancer:
            return False
        return not any(end > other_request.written_at for _, end in run.stalls_of(balancer))

    def _check_overtaken(self, request: RequestRecord, other_request: RequestRecord, upstream: str) -> None:
        if not other_request.is_finished:
            self.run.report(
                "order", f"{request.trace_id}: sent to {upstream} before {other_request.trace_id}"
            )

    def _is_settled(self, request: RequestRecord) -> bool:
        """Whether a request is finished and nothing of it can go on at an upstream."""
        run = self.run
        return request.is_finished and all(
            attempt.is_answered
            or (run.has_ended(attempt) and run.closed_at(attempt) + run.key_pause <= run.now)
            for attempt in request.attempts
        )

    def deadline_announced(self, trace_id: str, upstream: str, announced_ms: int) -> None:
        """An attempt tells its upstream how much time is left."""
        run = self.run
        request = run.requests.get(trace_id)
        if request is None or not request.written_at or run.arrived_during_stall(request):
            return
        remaining = request.written_at + request.time_limit - run.now
        if announced_ms * 1000 > remaining + MAX_EXCESS_TIME:
            text = f"{trace_id}: {upstream} was told {announced_ms} ms where {remaining // 1000} are left"
            run.report("time told", text)

    def _find_attempt(self, trace_id: str, connection: int) -> AttemptRecord | None:
        request = self.run.requests.get(trace_id)
        attempts = request.attempts if request is not None else []
        return next((attempt for attempt in reversed(attempts) if attempt.connection == connection), None)

    def attempt_sent(self, trace_id: str, _balancer: str, _upstream: str, connection: int) -> None:
        """The last byte of an attempt is written."""
        if attempt := self._find_attempt(trace_id, connection):
            attempt.sent_at = self.run.now

    def attempt_rejected(self, trace_id: str, _upstream: str, connection: int) -> None:
        """An upstream rejects an attempt without executing it."""
        if attempt := self._find_attempt(trace_id, connection):
            attempt.is_rejected = True
            attempt.is_answered = True

    def attempt_answered(self, trace_id: str, _upstream: str, connection: int, _status: int) -> None:
        """An upstream answers an attempt."""
        if attempt := self._find_attempt(trace_id, connection):
            attempt.is_answered = True

    def answer_sent(self, trace_id: str, _upstream: str, connection: int) -> None:
        """An upstream sends all of an answer."""
        if attempt := self._find_attempt(trace_id, connection):
            attempt.is_answer_sent = True

    def connection_reset(self, connection: int) -> None:
        """An upstream resets a connection."""
        self.run.reset_connections.add(connection)
