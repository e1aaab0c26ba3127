"""The requests of one pool: their admission, their attempts, and the one response that each gets."""

from collections.abc import Callable

from dahliabend.config.server_settings import ServerSettings
from dahliabend.errors import StaleHandleError
from dahliabend.http.dispatch import IncomingRequest
from dahliabend.http.headers import TIMEOUT_HEADER, TRACE_ID_HEADER
from dahliabend.http.responses import retry_after_header
from dahliabend.http.upstream_connection import UpstreamResponse
from dahliabend.model import Outcome
from dahliabend.proxy import request_log
from dahliabend.proxy.attempt import NO_DEADLINE, Attempt
from dahliabend.proxy.base_dispatcher import BaseDispatcher, RequestMetrics
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.proxy.pool_state import PoolState
from dahliabend.proxy.request import AttemptRecord, Request
from dahliabend.proxy.request_log import RequestLog
from dahliabend.transport.handles import NO_HANDLE, HandleTable
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, TimerQueue, clock

MARGIN_DIVISOR = 8  # the margin for the way back to the client is at most this part of its timeout


class Router(BaseDispatcher, PoolState):
    """Serves the requests of one pool as its policy decides.

    It takes requests from client connections where there is one pool only, from a `Dispatcher` otherwise, and
    carries out what the policy asks its port for.

    Attributes:
        methods: Request methods that are served.
        timers: Timers of the process.
        requests: The requests that are open, by handle.
        trace_ids: Their ids.
        route_names: Names of the routes by class index, where routes have classes of their own.
    """

    methods = frozenset((b"GET", b"POST"))

    def __init__(
        self,
        settings: ServerSettings,
        timers: TimerQueue,
        table: EndpointTable,
        metrics: RequestMetrics,
        log: Callable[..., None],
    ) -> None:
        BaseDispatcher.__init__(self, metrics)
        PoolState.__init__(self, table, settings.monotonic_offset)
        self.timers = timers
        self.log = log
        self.request_log = RequestLog(log)
        self.requests: HandleTable[Request] = HandleTable(settings.max_in_flight)
        self.trace_ids: set[bytes] = set()
        self.route_names: list[str] = []
        self._install(settings)

    @property
    def counts(self) -> dict[str, int]:
        """Ended requests by the operators' names of their ends."""
        return self.request_log.counts

    @property
    def logs_access(self) -> bool:
        """Whether every request is logged."""
        return self.request_log.logs_access

    @logs_access.setter
    def logs_access(self, value: bool) -> None:
        """Set whether every request is logged."""
        self.request_log.logs_access = value

    # Settings.

    def _install(self, settings: ServerSettings) -> None:
        self.class_indices = settings.class_indices
        self.tenant_indices = settings.tenant_indices
        self.class_deadlines = settings.class_deadlines
        self.deadline_margin = settings.deadline_slack
        self.metrics.set_active_classes(settings.class_indices)
        self.policies.append(PolicyPort(self, settings))

    def apply_settings(self, settings: ServerSettings) -> int:
        """Put other settings in force, with a fresh policy for the requests from now on.

        Open requests end under the policy that admitted them: under another they could get two responses, or
        none.

        Returns:
            Of how many endpoints the new policy goes on with what was known.
        """
        before = self.balancer
        indices_before = self.class_indices
        self.policies = [policy for policy in self.policies if policy.open_requests]
        self._install(settings)
        endpoints = self.table.endpoints.values()
        self.policies[-1].endpoints_changed([(each, each.state) for each in endpoints], full=True)
        # Without this a request could be sent beside another of its key that is out under the policy before.
        self.balancer.key_queues.take_over(before.key_queues)
        return self.balancer.restore(before.snapshot(ends=True), self.class_index_pairs(indices_before))

    def ready(self) -> bool:
        """Tell whether requests can be served: the list has been asked for, and some endpoint is ready."""
        asked = self.discovery is not None and self.discovery.first_attempt_finished
        return asked and bool(self.balancer.selection.ready) and not self.closing()

    # Requests from clients.

    def classify(self, method: bytes, path: bytes, headers: dict[bytes, bytes]) -> tuple[bytes, int] | None:
        """Return name and index of a request's class, None if there is none.

        The first segment of the path is the name.
        """
        del method, headers
        name = path[1:].partition(b"/")[0]
        index = self.class_indices.get(name) if path[:1] == b"/" else None
        return None if index is None else (name, index)

    def read_trace_id_and_timeout(self, class_index: int, headers: dict[bytes, bytes]) -> tuple[bytes, bytes]:
        """Return a request's id and the milliseconds that its client waits; empty where they are missing."""
        del class_index
        return headers.get(TRACE_ID_HEADER, b""), headers.get(TIMEOUT_HEADER, b"")

    def dispatch(
        self, incoming: IncomingRequest, class_index: int, on_rejected: Callable[[int], None] | None = None
    ) -> int:
        """Let the policy decide on a request.

        Args:
            incoming: The request.
            class_index: Index of its class.
            on_rejected: Called in place of an answer if the request is rejected before this returns.

        Returns:
            The request's handle, or `NO_HANDLE` if it has its response already.
        """
        if incoming.trace_id in self.trace_ids:
            # An open request has this id: forwarded, this one would be taken for a repeat of that.
            incoming.client.send_error(409)
            return NO_HANDLE
        request = self._create(incoming, class_index)
        request.handle = self.requests.add(request)
        if request.handle == NO_HANDLE:
            self.log("request_table.exhausted", requests=len(self.requests))
            incoming.client.send_response(503, b"", b"too many transactions\n")
            return NO_HANDLE
        self.trace_ids.add(incoming.trace_id)
        request.on_rejected = on_rejected
        self._admit(request)
        if not request.answered:
            return request.handle
        self.forget_if_finished(request)
        return NO_HANDLE

    def _create(self, incoming: IncomingRequest, class_index: int) -> Request:
        timeout = min(incoming.client_timeout, self.class_deadlines[class_index])
        # On a busy machine the request's bytes have lain unread for a while, and so will those of the
        # response: one that is sent at the very limit comes too late.
        margin = min(self.deadline_margin, timeout // MARGIN_DIVISOR)
        request = Request(incoming, class_index, timeout - margin, self.policies[-1])
        if self.route_names:
            request.route_name = self.route_names[class_index]
        return request

    def _admit(self, request: Request) -> None:
        """Hand a request to the policy in force."""
        incoming = request.incoming
        upload = incoming.upload
        if upload is not None:
            deadline = clock() + NO_DEADLINE
        else:
            deadline = incoming.received_at + request.client_timeout
        if self.shutdown_deadline:
            deadline = min(deadline, self.shutdown_deadline)
        policy = request.policy
        policy.open_requests += 1
        request.state = policy.balancer.admit(
            request.admitted_at,
            request.handle,
            request.class_index,
            self.tenant_indices.get(incoming.tenant, len(self.tenant_indices)),
            deadline,
            incoming.is_retry,
            upload is not None,
            incoming.ordering_key,
        )
        request.is_admitted = True
        if upload is not None:
            upload.observer = request

    def client_disconnected(self, handle: int) -> None:
        """Handle that the client of a request has gone."""
        request = self.requests.get(handle)
        if request is None:
            return
        if request.answered:  # a response is being streamed to it
            for attempt in tuple(request.attempts):
                attempt.give_up(Outcome.CANCELLED)
            return
        request.mark_answered()
        self.request_log.request_ended(request_log.CLIENT_DISCONNECTED, request)
        request.state.client_disconnected(clock())
        self.forget_if_finished(request)

    # What policies ask for; see `model.Port`.

    def send(self, request_id: int, endpoint_index: int, timeout: int) -> None:
        """Start an attempt.

        Raises:
            StaleHandleError: The request has ended; policies send for open requests only.
        """
        request = self.requests.get(request_id)
        if request is None:
            raise StaleHandleError(request_id)
        attempt = Attempt(self, request, self.table.endpoints[endpoint_index], timeout)
        request.attempts.append(attempt)
        if self.shutdown_deadline and clock() >= self.shutdown_deadline:
            attempt.finish_soon(Outcome.NOT_SENT)  # the process ends before it could
        else:
            attempt.start()

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer a request with 503, and a Retry-After if `retry_after` (us) is not 0."""
        request = self.requests.get(request_id)
        if request is None:
            return
        if request.on_rejected is not None and not request.is_admitted and not request.attempts:
            request.mark_answered()
            self.request_log.request_ended(request_log.FORWARDED_TO_FALLBACK, request)
            request.on_rejected(request_id)
            return
        advice = retry_after_header(retry_after)
        self.respond(request, request_log.REJECTED, 503, advice, b"rolled back\n")
        if request.is_admitted and not request.attempts:
            self.forget_if_finished(request)  # it waited for its turn: no end of an attempt does this

    def fail(self, request_id: int) -> None:
        """Answer a request with 502."""
        request = self.requests.get(request_id)
        if request is not None:
            self.respond(request, request_log.FAILED, 502, b"", b"abandoned\n")

    def cancel(self, request_id: int, attempt_index: int) -> None:
        """Give up an attempt."""
        request = self.requests.get(request_id)
        if request is not None:
            request.attempts[attempt_index].give_up(Outcome.CANCELLED)

    # Ends of attempts and requests.

    def attempt_finished(
        self, attempt: Attempt, outcome: Outcome, duration: int, response: UpstreamResponse | None
    ) -> None:
        """Handle the end of an attempt: answer the client, or let the policy decide on another attempt."""
        request = attempt.request
        endpoint_name = attempt.endpoint.name
        request.attempt_records.append(
            AttemptRecord(endpoint_name, outcome.name, duration // MICROSECONDS_PER_MILLISECOND)
        )
        if self.on_attempt_finished is not None:
            self.on_attempt_finished(endpoint_name, outcome)
        if outcome is not Outcome.SUCCEEDED:
            self.request_log.attempt_failed(attempt, outcome, duration)
        if attempt.first_byte_at is not None:
            duration = attempt.first_byte_at - attempt.started_at
            self._end_stream(request, outcome)
        elif response is not None and outcome is Outcome.SUCCEEDED:
            self.respond(request, request_log.SUCCEEDED, 200, response.headers, response.body)
        request.state.attempt_finished(
            clock(), attempt.index, outcome, duration, request.answered, attempt.connection_idle_time
        )
        self.forget_if_finished(request)

    def _end_stream(self, request: Request, outcome: Outcome) -> None:
        """End a response that has been streamed, complete or not."""
        if outcome is Outcome.SUCCEEDED:
            self.request_log.request_ended(request_log.SUCCEEDED, request)
            request.incoming.client.finish_response()
        else:
            self.request_log.request_ended(request_log.TRUNCATED, request)
            request.incoming.client.abort_response()

    def respond(self, request: Request, ending: str, status: int, headers: bytes, body: bytes) -> None:
        """Send a request's one response; whatever comes later is dropped.

        Args:
            request: The request.
            ending: How it has ended, one of the names of `request_log`.
            status: Status of the response.
            headers: Further header lines.
            body: The body.
        """
        if request.answered:
            return
        request.mark_answered()
        self.request_log.request_ended(ending, request)
        request.incoming.client.send_response(status, headers, body)

    def forget_if_finished(self, request: Request) -> None:
        """Remove a request that has been answered and has no attempt out."""
        if not request.state.is_finished:
            return
        request.policy.open_requests -= 1
        if not request.policy.open_requests and request.policy is not self.policies[-1]:
            self.policies.remove(request.policy)
        self.requests.remove(request.handle)
        self.trace_ids.discard(request.incoming.trace_id)
        # Attempts refer to their request: without this it and its body would wait for the garbage collector.
        request.attempts.clear()

    # Shutdown.

    def shut_down_by(self, deadline: int) -> None:
        """End every request that is still open at `deadline` (us, clock time)."""
        super().shut_down_by(deadline)
        for request in self.requests:
            if not request.attempts:  # it waits for its turn: no end of an attempt would end it in time
                request.state.deadline = min(request.state.deadline, deadline)
        self.timers.schedule(deadline, self.give_up_all)

    def give_up_all(self) -> None:
        """Time out all attempts: the process is killed soon, and every request is to have its response."""
        for request in self.requests:
            for attempt in request.attempts:
                attempt.give_up(Outcome.TIMED_OUT)
