"""HTTP connections of clients: requests are received, and answered one by one in the same order."""

import asyncio

from dahliabend.http import headers as wire
from dahliabend.http.dispatch import Dispatcher, IncomingRequest, is_valid_trace_id_and_timeout
from dahliabend.http.headers import HeaderFields
from dahliabend.http.request_parser import BODY_PAUSE_TIMEOUT, ReceivedRequest, RequestParser
from dahliabend.http.response_sender import ResponseSender
from dahliabend.http.responses import CONTINUE
from dahliabend.http.serving_state import FLUSHING, LINGERING, SERVING, WAITING
from dahliabend.http.streaming import StreamingBody
from dahliabend.transport import host_info
from dahliabend.transport.connection import MIN_STEP
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.disconnect_detection import CLIENT_LEFT
from dahliabend.transport.handles import NO_HANDLE
from dahliabend.transport.loop_budget import RECEIVE_AREA_BYTES
from dahliabend.transport.memory_budget import ReliefRank
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, TimerQueue, clock

# Microseconds.
REQUEST_TIMEOUT = 2_500_000  # for receiving a request, the first one counted from accepting; not over 3 s
SLOW_REQUEST_AGE = REQUEST_TIMEOUT // 8  # from this age on, an incomplete request can be evicted
MIN_UPLOAD_TIME = 1_000_000  # from which age on a streamed body is given up if clients wait for a descriptor
MIN_LINGER_TIME = 100_000  # for a client that goes on sending, if others wait for a descriptor
LINGER_DIVISOR = 4  # of the write timeout: time for the client to close after the final response
RELIEF_DELAY = 100_000  # without a byte, until an incomplete request counts as slow

HEAD_STEP = MIN_STEP  # bytes of a head parsed at once; a head can consist of very many fields
QUEUED_REQUEST_BYTES = 4096  # that a parsed request holds beside its headers and its body
# Reasons for the log.
OUT_OF_MEMORY = "memory"

ALLOWED_METHODS = b"Allow: GET, POST\r\n"  # header line of a 405 response


class ClientConnection(ResponseSender):
    """The connection of one client. Requests are served one at a time, in the order received.

    Attributes:
        opened_at: Clock time (us) of accepting, so that a connection whose transport is not connected yet is
            not taken for idle; 0 from the first response on.
        evictable_from: Clock time (us) from which a lingering connection can be evicted with input unread.
    """

    def __init__(
        self, descriptors: DescriptorBudget, timers: TimerQueue, dispatcher: Dispatcher, write_timeout: int
    ) -> None:
        super().__init__(descriptors, timers, dispatcher, write_timeout)
        self.parser = RequestParser(self)
        self.opened_at = clock()
        self.evictable_from = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request.

        A new connection is not idle, even when descriptors are scarce: the request that it was opened for may
        already have arrived, and closing it would lose that request.
        """
        super().connection_made(transport)
        self.limit_request_time(self.opened_at)

    def limit_request_time(self, since: int) -> None:
        """Set the time limit for receiving the next request in full, counted from clock time `since`."""
        self.descriptors.mark_awaiting_request(self.handle, since + SLOW_REQUEST_AGE)
        self.timeout_timer = self.timers.schedule(since + REQUEST_TIMEOUT, self.request_timed_out)

    @property
    def _is_serving(self) -> bool:
        """Whether a request has no response yet, or one that has not been sent in full."""
        return self.state is SERVING or self.state is FLUSHING

    # Parser callbacks

    def request_received(self, request: ReceivedRequest) -> None:
        """Queue a request until those ahead of it are answered."""
        self.queue.append(request)

    def continue_expected(self) -> None:
        """Send 100 Continue, unless an earlier request is being served."""
        if not self._is_serving:
            self.write(CONTINUE)

    def streaming_body_received(self, body: StreamingBody) -> None:
        """Cancel the time limit of the current upload, which has been received in full."""
        if body is self.upload:
            self.descriptors.mark_busy(self.handle)
            self.timers.cancel(self.timeout_timer)

    # Requests

    def bytes_received(self, view: memoryview) -> None:
        """Parse requests and serve the next one; input after the final response is ignored."""
        if self.state is LINGERING or (self.state is FLUSHING and not self.keep_alive):
            return
        self.parser.feed(view)
        self.serve_next()
        if self.upload is not None and self.is_last_input(view):
            self.upload.input_consumed()

    def serve_next(self) -> None:
        """Serve the next request in the queue, if none is being served."""
        while self.queue and self.state is WAITING and not self.closed:
            self.timers.cancel(self.timeout_timer)
            self.descriptors.mark_busy(self.handle)
            self.state = SERVING
            self.start_request(self.queue.popleft())
        # Stop reading from a client that pipelines: otherwise its requests would pile up in memory.
        self.parsing_blocked = bool(self.queue or self.parser.error_status)
        if self.parser.error_status and not self.closed:
            if self.is_uploading:
                self._fail_upload()
                return
            if self.state is WAITING:
                self._answer_parse_error()
                return
        if self.parser.received_at:
            self._limit_begun_request()

    def _fail_upload(self) -> None:
        """Answer an error in a body that is already being streamed to an upstream.

        The upstream never receives the end of the body, so it does not execute the request.
        """
        self.upload = None
        self.keep_alive = False
        handle = self.request_handle
        self.request_handle = NO_HANDLE
        self.dispatcher.client_disconnected(handle)
        self.send_error(self.parser.error_status)

    def _answer_parse_error(self) -> None:
        """Answer a request that could not be parsed."""
        self.state = SERVING
        self.keep_alive = False
        self.classify(b"", self.parser.target.partition(b"?")[0], HeaderFields())
        self.send_error(self.parser.error_status)

    def _limit_begun_request(self) -> None:
        """Set the time limit for receiving a request that has begun, unless one is set."""
        if self._is_serving and not self.is_uploading:
            return
        if self.handle not in self.descriptors.receiving:
            begun_at = self.parser.begun_at
            self.descriptors.mark_receiving(self.handle, self, begun_at, begun_at + SLOW_REQUEST_AGE)
        if self.timeout_timer is None or not self.timeout_timer.is_pending:
            self.limit_request_time(self.parser.begun_at)  # else it would hold its descriptor forever

    def start_request(self, request: ReceivedRequest) -> None:
        """Answer a request, or pass it to the dispatcher."""
        if self.unconfirmed_id:
            self.settle_response(has_response=True)
        self.keep_alive = request.keep_alive
        body = request.body
        if isinstance(body, StreamingBody):
            body = self._take_streaming_body(body)
        target = request.target if request.target[:1] == b"/" else request.origin_target()
        if request.method not in self.dispatcher.methods:
            self.send_response(405, ALLOWED_METHODS, wire.REASON_PHRASES[405] + b"\n")
            return
        path = target.partition(b"?")[0]
        if path == wire.READY_PATH:
            self._answer_readiness_check()
            return
        target_number = self.classify(request.method, path, request.fields)
        if target_number is None:
            self.send_error(404)
            return
        trace_id, timeout_ms = self.dispatcher.read_trace_id_and_timeout(target_number, request.fields)
        if not is_valid_trace_id_and_timeout(trace_id, timeout_ms):
            self.send_error(400)
            return
        incoming = IncomingRequest(
            client=self,
            method=request.method,
            target=target,
            fields=request.fields,
            headers=request.headers,
            body=body,
            upload=self.upload,
            client_timeout=int(timeout_ms) * MICROSECONDS_PER_MILLISECOND,
            received_at=request.received_at,
            trace_id=trace_id,
            tenant=request.fields.get(wire.TENANT_HEADER, b""),
            is_client_retry=request.fields.get(wire.RETRY_HEADER) == b"1",
            ordering_key=request.fields.get(wire.ORDERING_KEY_HEADER, b""),
        )
        self.request_handle = self.dispatcher.dispatch(incoming, target_number)

    def _take_streaming_body(self, body: StreamingBody) -> bytes:
        """Return the body if it has been received in full; else keep it as the upload and return nothing."""
        if body.is_complete:  # it was received while earlier requests were served
            self.upload = None
            return bytes(body.beginning)
        self.upload = body
        now = clock()
        self.descriptors.mark_receiving(self.handle, self, now, now + MIN_UPLOAD_TIME)
        return b""

    def _answer_readiness_check(self) -> None:
        status, body = (200, b"ready\n") if self.dispatcher.ready() else (503, b"not ready\n")
        self.send_response(status, b"", body)

    # Output and further input

    def output_flushed(self) -> None:
        """Resume the source of a streamed response, or finish a response that has been sent in full."""
        if self.response is not None and self.response.source.reading_suspended:
            self.response.source.resume_reading()
        if self.state is not FLUSHING:
            return
        self.request_finished()
        self.timers.cancel(self.timeout_timer)
        self.timeout_timer = None
        if not self.keep_alive:
            self.linger()
            return
        self.state = WAITING
        self.opened_at = 0
        self.descriptors.mark_idle(self.handle, clock())
        if self.queue or self.unprocessed or self.parser.received_at or self.parser.error_status:
            # In the next turn of the event loop: serving a long queue at once would nest a call per request.
            self.continue_in_next_iteration()
        else:
            self.attained_time = 0

    def continue_in_next_iteration(self) -> None:
        """Serve requests that were received while the previous response was being sent."""
        if self.loop_budget.loop is None:
            self.timers.loop.call_soon(self.process_input)
        else:
            self.loop_budget.defer(self)

    def process_input(self) -> None:
        """Serve the next request that was received, unless its client has left; then parse further input."""
        began_at = clock()
        if not self.closed and (self.queue or self.unprocessed) and self.peer_has_closed():
            self.abort(CLIENT_LEFT)
        if not self.closed:
            self.serve_next()
            super().process_input()
            self.attained_time += clock() - began_at

    # Sharing of memory and of the event loop

    def input_step(self) -> int:
        """Return how many bytes may be parsed at once."""
        is_in_body = self.parser.head_complete_at and self.parser.received_at
        return RECEIVE_AREA_BYTES if is_in_body else HEAD_STEP

    def buffered_bytes(self) -> int:
        """Return how many bytes of requests and responses the connection holds."""
        held = len(self.unprocessed) + self.unsent_bytes
        if self.parser.received_at:
            held += self.parser.buffered_bytes()
        for request in self.queue:
            held += QUEUED_REQUEST_BYTES + len(request.headers)
            body = request.body
            held += len(body) if isinstance(body, bytes) else len(body.beginning)
        if self.upload is not None:
            held += len(self.upload.beginning)
        return held

    def relief_rank(self, now: int) -> ReliefRank | None:
        """Return the rank of an incomplete request or of a response that waits for its client.

        All else has been taken on and has to be answered.
        """
        if self.closed:
            return None
        if self.write_paused:
            return ReliefRank.SLOW if self.has_stopped_reading(now) else ReliefRank.READING
        if not self._is_receiving_request:
            return None
        since = now if self.is_transport_paused else self.last_input_at
        return ReliefRank.SLOW if now - since > RELIEF_DELAY else ReliefRank.RECENT

    @property
    def _is_receiving_request(self) -> bool:
        """Whether a request has begun and can still be rejected, as no upstream can have all of it."""
        if self.parser.error_status or not self.parser.received_at:
            return False
        return self.state is WAITING or (self.is_uploading and self.response is None)

    def relieve(self) -> None:
        """Reject the request that is being received, or end the connection of a slow reader."""
        if self.write_paused:
            self.reset(OUT_OF_MEMORY)
            self.drop_output()
        else:
            self.reject_incomplete()

    def reject_incomplete(self) -> None:
        """Reject the request that is being received, unless its response has begun."""
        self.descriptors.receiving.pop(self.handle, None)
        if self.closed or not self._is_receiving_request:
            return
        self.dispatcher.request_shed(self.parser.target, self.reserved_bytes)
        self.parser.fail(503)
        self.serve_next()
        self.update_output_account()

    @property
    def received_bytes(self) -> int:
        """Bytes of the head or the body of the request that is being received."""
        return self.parser.section_bytes

    # Timeouts and closing

    def linger(self) -> None:
        """Shut down the sending side after the final response, and wait for the client to close.

        If the connection were closed at once, data that lies unread or that the client sends meanwhile would
        make the kernel discard the response unread. A lingering connection can be evicted like an idle one.
        """
        self.state = LINGERING
        self.evictable_from = clock() + MIN_LINGER_TIME
        self.parser.error_status = 0
        self.parser.discard()
        self.unprocessed = bytearray()
        self.parsing_blocked = False
        self.reading_suspended = False
        self.queue.clear()
        self.descriptors.mark_idle(self.handle, clock())
        self.timeout_timer = self.timers.schedule(clock() + self.write_timeout // LINGER_DIVISOR, self.abort)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self.timers.loop.call_soon(self.process_input)

    def request_timed_out(self) -> None:
        """Reject a request that was not received in time; a body that arrives fast enough gets more time."""
        if self._is_serving and not self.is_uploading:
            return
        parser = self.parser
        if parser.head_complete_at and parser.received_at and not parser.error_status:
            # While reading is suspended, the client is not the cause of the delay.
            due = clock() + BODY_PAUSE_TIMEOUT if self.reading_suspended else parser.body_deadline()
            if due > clock():
                self.timeout_timer = self.timers.schedule(due, self.request_timed_out)
                return
        if not parser.received_at and not parser.error_status and not self.unread_input():
            self.close()  # the client never sent anything
        else:
            parser.fail(408)
            self.serve_next()

    def can_evict(self) -> bool:
        """Return whether closing the connection loses no request, received or unread.

        What comes after the final response is none; the client only has to have had time to read that.
        """
        if self.state is LINGERING and clock() >= self.evictable_from:
            return True
        return not (self._is_serving or self.queue or self.unread_input())

    def close_if_idle(self, opened_before: int) -> None:
        """Close the connection if it is between requests.

        If it was accepted after `opened_before` (clock time, us) and has served no request, it stays open,
        because the request that it was opened for is on its way.
        """
        if self.opened_at >= opened_before or self.parser.received_at:
            return
        if self.state is not LINGERING and self.can_evict():
            self.close()

    def reading_resumed(self, pause: int) -> None:
        """Give the client more time for its body."""
        self.parser.extend_body_deadline(pause)

    def _log_close(self) -> None:
        """Log why this process has closed the connection, if that left a client without an answer."""
        is_unanswered = self._is_serving or self.queue or self.parser.received_at
        if self.close_reason and is_unanswered:
            self.dispatcher.connection_closed(
                self.close_reason, self.state.name, len(self.queue), self.reserved_bytes
            )

    def connection_closed(self) -> None:
        """End the current request, and notify the dispatcher if it has not been answered."""
        self._log_close()
        if self.unconfirmed_id:
            was_reset = self.has_failed or self.sock is None or host_info.peer_has_reset(self.sock)
            self.settle_response(has_response=not (was_reset or self.unsent_bytes))
        self.parser.close()
        self.queue.clear()
        self.upload = None
        self.response = None
        self.timers.cancel(self.timeout_timer)
        super().connection_closed()
        self.request_finished()
        handle = self.request_handle
        self.request_handle = NO_HANDLE
        if handle != NO_HANDLE:
            self.dispatcher.client_disconnected(handle)
