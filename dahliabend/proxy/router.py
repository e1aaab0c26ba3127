"""Router of one pool: admits requests, sends their attempts and answers each request exactly once."""

from collections.abc import Callable

from dahliabend.config.server_settings import ServerSettings
from dahliabend.errors import StaleHandleError
from dahliabend.http.dispatch import Client, IncomingRequest
from dahliabend.http.headers import TIMEOUT_HEADER, TRACE_ID_HEADER, HeaderFields
from dahliabend.http.responses import retry_after_header
from dahliabend.http.upstream_connection import UpstreamResponse
from dahliabend.model import Outcome
from dahliabend.policy.key_order import ProcessOrder
from dahliabend.proxy import request_log
from dahliabend.proxy.attempt import NO_DEADLINE, Attempt
from dahliabend.proxy.base_dispatcher import BaseDispatcher, RequestMetrics
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.executed_requests import ExecutedRequests
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.proxy.pool_state import PoolState
from dahliabend.proxy.request import AttemptRecord, Request
from dahliabend.proxy.request_log import RequestLog
from dahliabend.transport.handles import NO_HANDLE, HandleTable
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, TimerQueue, clock

MARGIN_DIVISOR = 8  # the deadline margin is at most the client's timeout divided by this


class Router(BaseDispatcher, PoolState):
    """Serves the requests of one pool and carries out the decisions of its policy.

    Where there is only one pool, requests come directly from client connections, otherwise from a
    `Dispatcher`. The policy acts through the methods that its `PolicyPort` forwards to this class.

    Attributes:
        methods: HTTP methods that are served.
        timers: Timers of the process.
        requests: Open requests by handle.
        memory: The account of what the process holds for its peers.
        trace_ids: Trace ids of the open requests.
        unconfirmed: By trace id, the clients that have been sent the response to a request that may not run
            again, and are not known to have it.
        executed: The requests that may have run and may not run again, also after their end.
        route_names: Route names by class index, where every route has a class of its own; otherwise empty.
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
        BaseDispatcher.__init__(self, metrics, log)
        PoolState.__init__(self, table, settings.monotonic_offset)
        self.timers = timers
        self.memory = table.resources.descriptors.memory
        self.request_log = RequestLog(log)
        self.requests: HandleTable[Request] = HandleTable(settings.max_in_flight)
        self.trace_ids: set[bytes] = set()
        self.executed = ExecutedRequests()
        self.unconfirmed: dict[bytes, Client] = {}
        self.route_names: list[str] = []
        self._install_policy(settings)

    @property
    def counts(self) -> dict[str, int]:
        """Number of ended requests by outcome, as named in `request_log`."""
        return self.request_log.counts

    @property
    def logs_access(self) -> bool:
        """Whether every request is logged, successful ones included."""
        return self.request_log.logs_access

    @logs_access.setter
    def logs_access(self, value: bool) -> None:
        """Set whether every request is logged, successful ones included."""
        self.request_log.logs_access = value

    # Settings

    def _install_policy(self, settings: ServerSettings) -> None:
        self.class_indices = settings.class_indices
        self.tenant_indices = settings.tenant_indices
        self.class_deadlines = settings.class_deadlines
        self.deadline_margin = settings.deadline_slack
        self.metrics.set_active_classes(settings.class_indices)
        self.policies.append(PolicyPort(self, settings))

    def apply_settings(self, settings: ServerSettings) -> int:
        """Apply new settings: a new policy serves the requests that are admitted from now on.

        Open requests stay with the policy that admitted them: another policy could answer them twice or not
        at all.

        Returns:
            The number of endpoints whose state the new policy has taken over from the previous one.
        """
        previous = self.balancer
        previous_indices = self.class_indices
        self.policies = [policy for policy in self.policies if policy.open_requests]
        self._install_policy(settings)
        endpoints = self.table.endpoints.values()
        self.policies[-1].endpoints_changed([(endpoint, endpoint.state) for endpoint in endpoints], full=True)
        # Otherwise a request could be sent while another with the same ordering key is still in flight under
        # the previous policy.
        self.balancer.key_queues.take_over(previous.key_queues)
        return self.balancer.restore(
            previous.snapshot(is_final=True), self.class_index_pairs(previous_indices)
        )

    def share_key_order(self, processes: ProcessOrder | None) -> None:
        """Keep the order of each key together with other processes; None: this process is alone."""
        for policy in self.policies:
            policy.balancer.key_queues.share(processes)

    def ready(self) -> bool:
        """Return whether requests can be served.

        The first request for the endpoint list has to have ended, successfully or not, at least one endpoint
        has to be ready, and clients must not be directed to other balancers.
        """
        has_requested_list = self.discovery is not None and self.discovery.first_attempt_finished
        return has_requested_list and bool(self.balancer.selection.ready) and not self.closing()

    # Requests from clients

    def classify(self, method: bytes, path: bytes, headers: HeaderFields) -> tuple[bytes, int] | None:
        """Return the name and index of a request's class, or None if the class is not configured.

        The class name is the first segment of the path.
        """
        del method, headers
        name = path[1:].partition(b"/")[0]
        index = self.class_indices.get(name) if path[:1] == b"/" else None
        return None if index is None else (name, index)

    def read_trace_id_and_timeout(self, class_index: int, headers: HeaderFields) -> tuple[bytes, bytes]:
        """Return the request's trace id and its client's timeout in milliseconds, as digits.

        A missing header is returned as empty bytes.
        """
        del class_index
        return headers.get(TRACE_ID_HEADER, b""), headers.get(TIMEOUT_HEADER, b"")

    def dispatch(
        self, incoming: IncomingRequest, class_index: int, on_rejected: Callable[[int], None] | None = None
    ) -> int:
        """Hand a request to the policy, which admits or rejects it.

        Args:
            incoming: The request.
            class_index: Index of its class.
            on_rejected: Called with the request's handle, in place of a response, if the request is rejected
                before this method returns.

        Returns:
            The request's handle, or `NO_HANDLE` if the request has already been answered.
        """
        if incoming.trace_id in self.trace_ids:
            # An upstream would take it for a repeat of the open request that has the same id.
            self._refuse_repeated_id(incoming)
            return NO_HANDLE
        if self.memory.is_full():
            self.log("request.refused_for_memory", trace_id=incoming.trace_id.decode("latin-1"))
            incoming.client.send_response(503, b"", b"out of memory\n")
            return NO_HANDLE
        request = self._create_request(incoming, class_index)
        if request.runs_once and not self._may_run(incoming.trace_id):
            self._refuse_repeated_id(incoming)
            return NO_HANDLE
        request.handle = self.requests.add(request)
        if request.handle == NO_HANDLE:
            self.log("request_table.exhausted", requests=len(self.requests))
            if request.runs_once:
                self.executed.discard(incoming.trace_id)
            incoming.client.send_response(503, b"", b"too many transactions\n")
            return NO_HANDLE
        self.memory.reserved += request.reserved_bytes
        self.trace_ids.add(incoming.trace_id)
        request.on_rejected = on_rejected
        self._admit(request)
        if not request.answered:
            return request.handle
        self.forget_if_finished(request)
        return NO_HANDLE

    def _may_run(self, trace_id: bytes) -> bool:
        """Return whether a request that may not run again can be sent, and remember its trace id.

        It can if no request with that id may have run, or if the client of the one that has run has the
        response.
        """
        client = self.unconfirmed.pop(trace_id, None)
        if self.executed.try_add(trace_id):
            return True
        return client is not None and client.unconfirmed_id == trace_id and client.has_response()

    def response_settled(self, trace_id: bytes, *, has_response: bool) -> None:
        """Let an id be used again if the client of its request has the response."""
        was_unconfirmed = self.unconfirmed.pop(trace_id, None) is not None
        if has_response and was_unconfirmed and trace_id not in self.trace_ids:
            self.executed.discard(trace_id)

    def _refuse_repeated_id(self, incoming: IncomingRequest) -> None:
        """Answer a request whose trace id another one has that is open or may have run."""
        self.log("request.repeated_id", trace_id=incoming.trace_id.decode("latin-1"))
        incoming.client.send_error(409)

    def _create_request(self, incoming: IncomingRequest, class_index: int) -> Request:
        timeout = min(incoming.client_timeout, self.class_deadlines[class_index])
        # On a busy machine the request has been waiting in the socket buffer for a while, and so will the
        # response: a response sent exactly at the client's timeout arrives too late.
        margin = min(self.deadline_margin, timeout // MARGIN_DIVISOR)
        request = Request(incoming, class_index, timeout - margin, self.policies[-1])
        if self.route_names:
            request.route_name = self.route_names[class_index]
        return request

    def _admit(self, request: Request) -> None:
        """Submit a request to the current policy, with its deadline."""
        incoming = request.incoming
        upload = incoming.upload
        if upload is not None:
            deadline = clock() + NO_DEADLINE
        else:
            deadline = incoming.received_at + request.client_time_limit
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
            incoming.is_client_retry,
            upload is not None,
            incoming.ordering_key,
        )
        request.is_admission_decided = True
        if upload is not None:
            upload.observer = request

    def client_disconnected(self, handle: int) -> None:
        """Handle the disconnection of a request's client."""
        request = self.requests.get(handle)
        if request is None:
            return
        if request.answered:  # a response was being streamed to the client
            for attempt in tuple(request.attempts):
                attempt.give_up(Outcome.CANCELLED)
            return
        request.mark_answered()
        self.request_log.request_ended(request_log.CLIENT_DISCONNECTED, request)
        request.state.client_disconnected(clock())
        self.forget_if_finished(request)

    # Methods of `model.Port`, called by policies

    def send(self, request_id: int, endpoint_index: int, timeout: int) -> None:
        """Start an attempt of a request at an endpoint, with a timeout (us).

        Raises:
            StaleHandleError: The request has ended. Policies send attempts of open requests only.
        """
        request = self.requests.get(request_id)
        if request is None:
            raise StaleHandleError(request_id)
        attempt = Attempt(self, request, self.table.endpoints[endpoint_index], timeout)
        request.attempts.append(attempt)
        if self.shutdown_deadline and clock() >= self.shutdown_deadline:
            attempt.finish_soon(Outcome.NOT_SENT)  # the process exits before the attempt could finish
        else:
            attempt.start()

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer a request with 503, and with a Retry-After header unless `retry_after` (us) is 0."""
        request = self.requests.get(request_id)
        if request is None:
            return
        if request.on_rejected is not None and not request.is_admission_decided and not request.attempts:
            request.mark_answered()
            self.request_log.request_ended(request_log.FORWARDED_TO_FALLBACK, request)
            request.on_rejected(request_id)
            return
        headers = retry_after_header(retry_after)
        self.respond(request, request_log.REJECTED, 503, headers, b"rolled back\n")
        if request.is_admission_decided and not request.attempts:
            # The request was queued by its ordering key: no attempt ends later and removes it.
            self.forget_if_finished(request)

    def fail(self, request_id: int) -> None:
        """Answer a request with 502."""
        request = self.requests.get(request_id)
        if request is not None:
            self.respond(request, request_log.FAILED, 502, b"", b"abandoned\n")

    def cancel(self, request_id: int, attempt_index: int) -> None:
        """Cancel an attempt of a request."""
        request = self.requests.get(request_id)
        if request is not None:
            request.attempts[attempt_index].give_up(Outcome.CANCELLED)

    # Completion of attempts and requests

    def attempt_finished(
        self, attempt: Attempt, outcome: Outcome, duration: int, response: UpstreamResponse | None
    ) -> None:
        """Handle the outcome of an attempt: answer the client, or let the policy send another attempt."""
        request = attempt.request
        endpoint_name = attempt.endpoint.name
        request.attempt_records.append(
            AttemptRecord(endpoint_name, outcome.name, duration // MICROSECONDS_PER_MILLISECOND)
        )
        if self.on_attempt_finished is not None:
            self.on_attempt_finished(endpoint_name, outcome)
        if outcome is not Outcome.SUCCEEDED:
            self.request_log.attempt_failed(attempt, outcome, duration)
        if attempt.streaming_since is not None:
            duration = attempt.streaming_since - attempt.started_at
            self._end_stream(request, outcome)
        elif response is not None and outcome is Outcome.SUCCEEDED:
            request.succeeded = not request.answered and self._awaits_response(request)
            self.respond(request, request_log.SUCCEEDED, 200, response.headers, response.body)
        request.state.attempt_finished(
            clock(), attempt.index, outcome, duration, request.answered, attempt.connection_idle_time
        )
        self.forget_if_finished(request)

    def _end_stream(self, request: Request, outcome: Outcome) -> None:
        """Finish a streamed response, or abort it if the attempt has not succeeded."""
        if outcome is Outcome.SUCCEEDED:
            request.succeeded = self._awaits_response(request)
            self.request_log.request_ended(request_log.SUCCEEDED, request)
            request.incoming.client.finish_response()
        else:
            self.request_log.request_ended(request_log.TRUNCATED, request)
            request.incoming.client.abort_response()

    def respond(
        self, request: Request, request_outcome: str, status: int, headers: bytes, body: bytes
    ) -> None:
        """Send the response to a request; do nothing if the request has been answered already.

        Args:
            request: The request.
            request_outcome: How the request has ended, one of the constants in `request_log`.
            status: HTTP status.
            headers: Additional header lines.
            body: Response body.
        """
        if request.answered:
            return
        request.mark_answered()
        self.request_log.request_ended(request_outcome, request)
        request.incoming.client.send_response(status, headers, body)

    def forget_if_finished(self, request: Request) -> None:
        """Remove a request that has been answered and has no attempt in flight."""
        if not request.state.is_finished:
            return
        request.policy.open_requests -= 1
        if not request.policy.open_requests and request.policy is not self.policies[-1]:
            self.policies.remove(request.policy)
        if self.requests.remove(request.handle) is not None:
            self.memory.reserved -= request.reserved_bytes
            if request.runs_once:
                self._release_id(request)
        self.trace_ids.discard(request.incoming.trace_id)
        # Breaks the reference cycle between request and attempts: otherwise the request and its body would
        # stay in memory until the garbage collector runs.
        request.attempts.clear()

    def _awaits_response(self, request: Request) -> bool:
        """Return whether a request's client has not closed its connection; called before it is answered.

        It is looked up only where it matters: for a request that may not run again.
        """
        client = request.incoming.client
        return not (request.runs_once and (client.closed or client.peer_has_closed()))

    def _release_id(self, request: Request) -> None:
        """Let the id of a request that has ended be used again, if no attempt can have run.

        After a response of an upstream it is used again once the client has that.
        """
        trace_id = request.incoming.trace_id
        client = request.incoming.client
        if request.state.first_possibly_executed() is None:
            self.executed.discard(trace_id)
        elif request.succeeded and not client.closed:
            self.unconfirmed.pop(client.unconfirmed_id, None)
            client.unconfirmed_id = trace_id
            self.unconfirmed[trace_id] = client

    # Shutdown

    def shut_down_by(self, deadline: int) -> None:
        """End every request that is still open at `deadline` (us, clock time)."""
        super().shut_down_by(deadline)
        for request in self.requests:
            if not request.attempts:  # queued by its ordering key: it has no attempt that could be timed out
                request.state.deadline = min(request.state.deadline, deadline)
        self.timers.schedule(deadline, self.time_out_all_attempts)

    def time_out_all_attempts(self) -> None:
        """Time out all attempts so that every request is answered before the process is killed."""
        for request in self.requests:
            for attempt in request.attempts:
                attempt.give_up(Outcome.TIMED_OUT)
