"""HTTP connections of clients: their requests in, one response each out, in order."""

import asyncio
from collections import deque
from collections.abc import Callable

from dahliabend.http import headers as wire
from dahliabend.http.dispatch import Dispatcher, IncomingRequest, is_valid_identity
from dahliabend.http.request_parser import BODY_PAUSE_TIMEOUT, ReceivedRequest, RequestParser
from dahliabend.http.responses import CONNECTION_CLOSE, CONTINUE, Framing, StreamedResponse, response_head
from dahliabend.http.serving_state import FLUSHING, LINGERING, SERVING, WAITING, ServingState
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.handles import NO_HANDLE
from dahliabend.transport.hangup_detection import HangupDetectingConnection
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, Timer, TimerQueue, clock

# Microseconds.
REQUEST_TIMEOUT = 2_500_000  # for a request to come whole, the first counted from connecting; 3 s are due
SLOW_AFTER = REQUEST_TIMEOUT // 8  # until then an incomplete request is not evicted
STREAM_TIMEOUT_FACTOR = 4  # of the write timeout: for the rest of a streamed response to be sent
LINGER_DIVISOR = 4  # of the write timeout: for the client to end its sending behind the final response

ALLOWED_METHODS = b"Allow: GET, POST\r\n"  # with 405


class ClientConnection(HangupDetectingConnection):
    """One client's connection. Requests are served one by one, in the order in which they came.

    Attributes:
        dispatcher: Where its requests go.
        write_timeout: Microseconds in which a response has to be read.
        parser: Reads the requests.
        queue: Requests that can be served, behind the one that is being served.
        state: What it does with requests.
        keep_alive: The connection goes on behind the response.
        request_handle: Handle of the request being served, `NO_HANDLE` if the dispatcher has none of it.
        class_name: Name of that request's class, until its response is sent; empty if of no known one.
        on_request_finished: Called then; set by the dispatcher.
        upload: Its body, if that still comes.
        response: Its response, if that is passed on while it comes.
        opened_at: Clock time (us) at which it was accepted; 0 from the first response on. Counted from
            accepting, so that a connection whose transport is not up yet is not taken for idle.
        stall_timer: Fires if a request does not come, or a response is not read, in time.
    """

    def __init__(
        self, descriptors: DescriptorBudget, timers: TimerQueue, dispatcher: Dispatcher, write_timeout: int
    ) -> None:
        super().__init__(descriptors, timers)
        self.dispatcher = dispatcher
        self.write_timeout = write_timeout
        self.parser = RequestParser(self)
        self.queue: deque[ReceivedRequest] = deque()
        self.state: ServingState = WAITING
        self.keep_alive = False
        self.request_handle = NO_HANDLE
        self.class_name = b""
        self.on_request_finished: Callable[[], object] | None = None
        self.upload: StreamingBody | None = None
        self.response: StreamedResponse | None = None
        self.opened_at = clock()
        self.stall_timer: Timer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A first request is due from now on.

        A fresh connection was opened for a request that may be here already: it is not idle, whatever the
        budget; closed now, that request would be lost.
        """
        super().connection_made(transport)
        self.await_request(self.opened_at)

    def await_request(self, since: int) -> None:
        """The rest of a request is due, counted from that clock time."""
        self.descriptors.mark_awaiting_request(self.handle, since + SLOW_AFTER)
        self.stall_timer = self.timers.schedule(since + REQUEST_TIMEOUT, self.request_timed_out)

    @property
    def _is_serving(self) -> bool:
        """Whether a request has no response yet, or one that is not sent whole."""
        return self.state is SERVING or self.state is FLUSHING

    # What the parser reports.

    def request_received(self, request: ReceivedRequest) -> None:
        """It is served once those ahead of it are answered."""
        self.queue.append(request)

    def continue_expected(self) -> None:
        """The client is told to go on, unless an earlier request is being served."""
        if not self._is_serving:
            self.write(CONTINUE)

    def streaming_body_received(self, body: StreamingBody) -> None:
        """Its client is waited for no more."""
        if body is self.upload:
            self.timers.cancel(self.stall_timer)

    # Requests.

    def bytes_received(self, view: memoryview) -> None:
        """Reads requests, and serves the next; behind the final response nothing is read any more."""
        if self.state is LINGERING or (self.state is FLUSHING and not self.keep_alive):
            return
        self.parser.feed(view)
        self.serve_next()

    def serve_next(self) -> None:
        """Serves the next request that has come, if none is being served."""
        while self.queue and self.state is WAITING and not self.closed:
            self.timers.cancel(self.stall_timer)
            self.descriptors.mark_busy(self.handle)
            self.state = SERVING
            self.start_request(self.queue.popleft())
        # A client that sends on without waiting for responses waits itself: else its requests pile up here.
        self.input_blocked = bool(self.queue or self.parser.error_status)
        if self.parser.error_status and not self.closed:
            if self.upload is not None:
                self._fail_upload()
                return
            if self.state is WAITING:
                self._answer_error()
                return
        if self.parser.received_at:
            self._await_rest_of_request()

    def _fail_upload(self) -> None:
        """A fault in a body that is passed on already: it has no end, so that it is never executed."""
        self.upload = None
        self.keep_alive = False
        handle = self.request_handle
        self.request_handle = NO_HANDLE
        self.dispatcher.client_disconnected(handle)
        self.send_error(self.parser.error_status)

    def _answer_error(self) -> None:
        """Answers a request that could not be read."""
        self.state = SERVING
        self.keep_alive = False
        self._classify(b"", self.parser.target.partition(b"?")[0], {})
        self.send_error(self.parser.error_status)

    def _await_rest_of_request(self) -> None:
        """Limits the time of a request that has come in part: else it would hold its descriptor for ever."""
        if self._is_serving and self.upload is None:
            return
        if self.stall_timer is None or not self.stall_timer.is_pending:
            self.await_request(self.parser.received_at)

    def start_request(self, request: ReceivedRequest) -> None:
        """Answers a request, or hands it to the dispatcher."""
        self.keep_alive = request.keep_alive
        body = request.body
        if isinstance(body, StreamingBody):
            body = self._take_streaming_body(body)
        target = request.target if request.target[:1] == b"/" else request.origin_target()
        if request.method not in self.dispatcher.methods:
            self.send_response(405, ALLOWED_METHODS, wire.REASONS[405] + b"\n")
            return
        path = target.partition(b"?")[0]
        if path == wire.READY:
            self._answer_ready()
            return
        class_number = self._classify(request.method, path, request.fields)
        if class_number is None:
            self.send_error(404)
            return
        trace_id, timeout_ms = self.dispatcher.read_trace_id_and_timeout(class_number, request.fields)
        if not is_valid_identity(trace_id, timeout_ms):
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
            tenant=request.fields.get(wire.TENANT, b""),
            is_retry=request.fields.get(wire.RETRY) == b"1",
            ordering_key=request.fields.get(wire.ORDERING_KEY, b""),
        )
        self.request_handle = self.dispatcher.dispatch(incoming, class_number)

    def _take_streaming_body(self, body: StreamingBody) -> bytes:
        """The body if it has come whole meanwhile; else it is the upload, and nothing goes ahead of it."""
        if body.is_complete:  # while others were served: it is like any other
            self.upload = None
            return b"".join(body.parts)
        self.upload = body
        return b""

    def _answer_ready(self) -> None:
        if self.dispatcher.ready():
            self.send_response(200, b"", b"ready\n")
        else:
            self.send_response(503, b"", b"not ready\n")

    def _classify(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> int | None:
        """The number of the request's class, if known; it counts as open from now on."""
        found = self.dispatcher.classify(method, path, fields)
        if found is None:
            return None
        self.class_name, class_number = found
        self.dispatcher.request_opened()
        return class_number

    def _request_finished(self) -> None:
        """The request being served counts as open no more."""
        if not self.class_name:
            return
        self.class_name = b""
        self.dispatcher.request_closed()
        callback = self.on_request_finished
        self.on_request_finished = None
        if callback is not None:
            callback()

    # Responses.

    def send_error(self, status: int) -> None:
        """Answers the request being served with an error and its reason."""
        self.send_response(status, b"", wire.REASONS[status] + b"\n")

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Answers the request being served with a response that is known whole."""
        self.request_handle = NO_HANDLE
        if self.closed:
            return
        if self.class_name:
            self.dispatcher.count_response(self.class_name, status)
        if self.upload is not None:
            self._discard_upload()
        head = response_head(status, headers, self._connection_line(), len(body))
        self.state = FLUSHING
        self.timers.cancel(self.stall_timer)
        self.write(head, body)
        if self.state is FLUSHING:
            # A client that reads nothing would hold its descriptor, and the response's bytes, for ever.
            self.stall_timer = self.timers.schedule(clock() + self.write_timeout, self.abort)

    def _connection_line(self) -> bytes:
        """Decides whether the connection goes on behind the response; the header line that says so.

        Kept while others wait to be accepted, it would have these miss their deadlines. What has come whole
        behind this request would be lost if it went.
        """
        if self.keep_alive and not self.queue:
            self.keep_alive = not (self.dispatcher.closing() or self.descriptors.reserve_in_use)
        return b"" if self.keep_alive else CONNECTION_CLOSE

    def _discard_upload(self) -> None:
        """Answered before its body has come whole: the rest is for nobody, and its end is not waited for."""
        if self.upload is not None and not self.upload.is_complete:
            self.keep_alive = False
            self.parser.fail(413)
        self.upload = None

    def start_response(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Begins a successful response that is passed on while it comes from `source`."""
        if self.closed:
            return
        self._discard_upload()
        self.response = StreamedResponse(source, length, self.parser.http_version)
        self.timers.cancel(self.stall_timer)
        self.write(self.response.head(headers, self._connection_line()))

    def send_part(self, part: bytes) -> None:
        """Passes on a part of the body of a streamed response."""
        if self.closed or self.response is None:
            return
        self.write(*self.response.frame(part))
        if self.unsent_bytes > wire.MAX_BUFFERED_BYTES and self.response is not None:
            self.response.source.suspend_reading()

    def finish_response(self) -> None:
        """A streamed response is complete."""
        if self.closed or self.response is None:
            return
        response = self.response
        self.response = None
        self.request_handle = NO_HANDLE
        self.dispatcher.count_response(self.class_name, 200)
        self.state = FLUSHING
        due = clock() + STREAM_TIMEOUT_FACTOR * self.write_timeout
        self.stall_timer = self.timers.schedule(due, self.abort)
        self.write(response.terminator())

    def abort_response(self) -> None:
        """A streamed response stays incomplete, and the client has to see that."""
        if self.closed or self.response is None:
            return
        response = self.response
        self.response = None
        self.request_handle = NO_HANDLE
        self.dispatcher.count_response(self.class_name, 502)
        if response.framing is Framing.UNTIL_CLOSE:
            self.reset()  # an end in order would be taken for that of the response
        else:
            self.abort()

    def output_flushed(self) -> None:
        """The system has taken all that was written: the response is sent if it is complete."""
        if self.response is not None and self.response.source.reading_suspended:
            self.response.source.continue_reading()
        if self.state is not FLUSHING:
            return
        self._request_finished()
        self.timers.cancel(self.stall_timer)
        self.stall_timer = None
        if not self.keep_alive:
            self.linger()
            return
        self.state = WAITING
        self.opened_at = 0
        self.descriptors.mark_idle(self.handle, clock())
        if self.queue or self.receive_buffer.count or self.parser.received_at or self.parser.error_status:
            # On the loop's next turn: a long queue answered at once would nest a call for each.
            self.timers.loop.call_soon(self.continue_serving)

    def continue_serving(self) -> None:
        """Serves what has come meanwhile."""
        if not self.closed:
            self.serve_next()
            self.process_input()

    # Ends.

    def linger(self) -> None:
        """Ends the sending behind the final response, and goes once the client has ended its own.

        Closed at once, whatever comes from the client meanwhile, or lies unread, would wipe the response out
        before it is read. The connection makes room for others like any that is idle.
        """
        self.state = LINGERING
        self.parser.error_status = 0
        self.input_blocked = False
        self.reading_suspended = False
        self.queue.clear()
        self.descriptors.mark_idle(self.handle, clock())
        self.stall_timer = self.timers.schedule(clock() + self.write_timeout // LINGER_DIVISOR, self.abort)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self.timers.loop.call_soon(self.process_input)

    def request_timed_out(self) -> None:
        """A request has not come whole in time; a body that comes fast enough is given more."""
        if self._is_serving and self.upload is None:
            return
        parser = self.parser
        if parser.head_complete_at and parser.received_at and not parser.error_status:
            # While reading is suspended, it is not the client that is slow.
            due = clock() + BODY_PAUSE_TIMEOUT if self.reading_suspended else parser.body_deadline()
            if due > clock():
                self.stall_timer = self.timers.schedule(due, self.request_timed_out)
                return
        if not parser.received_at and not parser.error_status and not self.unread_input():
            self.close()  # it never sent anything
        else:
            parser.fail(408)
            self.serve_next()

    def can_evict(self) -> bool:
        """Whether no request has come whole, nor can one be lying unread."""
        return not (self._is_serving or self.queue or self.unread_input())

    def close_if_idle(self, opened_before: int) -> None:
        """Closes it between requests.

        Args:
            opened_before: One that was opened later, and has served no request, stays: what it was opened for
                is on its way.
        """
        if self.opened_at >= opened_before or self.parser.received_at:
            return
        if self.state is not LINGERING and self.can_evict():
            self.close()

    def continue_reading(self) -> None:
        """Reads on, on the loop's next turn: never within a call that dispatches or writes."""
        self.timers.loop.call_soon(super().continue_reading)

    def connection_closed(self) -> None:
        """Ends what is under way."""
        self.parser.close()
        self.upload = None
        self.response = None
        self.timers.cancel(self.stall_timer)
        super().connection_closed()
        self._request_finished()
        handle = self.request_handle
        self.request_handle = NO_HANDLE
        if handle != NO_HANDLE:
            self.dispatcher.client_disconnected(handle)
