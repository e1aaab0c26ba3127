"""The sending of responses on the connection of a client."""

from collections import deque
from collections.abc import Callable

from dahliabend.http import headers as wire
from dahliabend.http.dispatch import Dispatcher
from dahliabend.http.headers import HeaderFields
from dahliabend.http.request_parser import ReceivedRequest, RequestParser
from dahliabend.http.responses import CONNECTION_CLOSE, Framing, StreamedResponse, response_head
from dahliabend.http.serving_state import FLUSHING, WAITING, ServingState
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.disconnect_detection import DisconnectDetectingConnection
from dahliabend.transport.handles import NO_HANDLE
from dahliabend.transport.read_progress import ReadProgress
from dahliabend.transport.timers import Timer, TimerQueue, clock

STREAM_TIMEOUT_FACTOR = 4  # write timeouts in which the rest of a streamed response has to be sent
RESPONSE_NOT_READ = "response not read"  # reason for the log


class ResponseSender(DisconnectDetectingConnection):
    """The connection of one client, as far as it sends the responses to its requests.

    Attributes:
        parser: Parses the requests; set by the subclass.
        dispatcher: Serves the requests.
        write_timeout: Microseconds within which the client has to read a response.
        queue: Received requests that wait behind the one being served.
        state: What the connection is doing.
        keep_alive: Whether the connection stays open after the current response.
        request_handle: Handle of the request that is being served; `NO_HANDLE` if the dispatcher has none.
        class_name: Name of that request's class until its response is sent; empty if the class is unknown.
        unconfirmed_id: Trace id of the last request that may not run again and whose response has been sent;
            empty once the client is known to have it.
        on_request_finished: Called when the response is sent or the connection closed; set by the dispatcher.
        upload: The body of that request, if it is still being received.
        response: The response to that request, if it is streamed.
        timeout_timer: Fires when the time for receiving a request, sending a response or lingering is over.
        read_progress: The client's progress in reading; None until it has been looked at.
    """

    parser: RequestParser

    def __init__(
        self, descriptors: DescriptorBudget, timers: TimerQueue, dispatcher: Dispatcher, write_timeout: int
    ) -> None:
        super().__init__(descriptors, timers)
        self.dispatcher = dispatcher
        self.write_timeout = write_timeout
        self.queue: deque[ReceivedRequest] = deque()
        self.state: ServingState = WAITING
        self.keep_alive = False
        self.request_handle = NO_HANDLE
        self.class_name = b""
        self.unconfirmed_id = b""
        self.on_request_finished: Callable[[], object] | None = None
        self.upload: StreamingBody | None = None
        self.response: StreamedResponse | None = None
        self.timeout_timer: Timer | None = None
        self.read_progress: ReadProgress | None = None

    # The current request

    @property
    def is_uploading(self) -> bool:
        """Whether the body of the current request is still being received.

        Until its last byte has come, no upstream executes the request.
        """
        return self.upload is not None and not self.upload.is_complete

    def classify(self, method: bytes, path: bytes, fields: HeaderFields) -> int | None:
        """Return the number of the request's class, if known, and count the request as open."""
        name_and_number = self.dispatcher.classify(method, path, fields)
        if name_and_number is None:
            return None
        self.class_name, target_number = name_and_number
        self.dispatcher.request_opened()
        return target_number

    def request_finished(self) -> None:
        """Stop counting the current request as open, and notify the dispatcher."""
        if not self.class_name:
            return
        self.class_name = b""
        self.dispatcher.request_closed()
        callback = self.on_request_finished
        self.on_request_finished = None
        if callback is not None:
            callback()

    # Responses

    def send_error(self, status: int) -> None:
        """Send an error response with the status and its reason phrase."""
        self.send_response(status, b"", wire.REASON_PHRASES[status] + b"\n")

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Send a response whose body is complete."""
        self.request_handle = NO_HANDLE
        if self.closed:
            return
        if self.class_name:
            self.dispatcher.count_response(self.class_name, status)
        if self.upload is not None:
            self._discard_upload()
        head = response_head(status, headers, self._connection_line(), len(body))
        self.state = FLUSHING
        self.timers.cancel(self.timeout_timer)
        self.write(head, body)
        if self.state is FLUSHING:
            # A client that reads nothing would hold its descriptor and the response in memory forever.
            due = clock() + self.write_timeout
            self.timeout_timer = self.timers.schedule(due, self.abort, RESPONSE_NOT_READ)

    def _connection_line(self) -> bytes:
        """Decide whether the connection stays open after the response; return the Connection header line.

        While descriptors are scarce the connection is closed, as clients that wait to be accepted would miss
        their deadlines. It stays open if further requests have been received: closing it would lose them.
        """
        if self.keep_alive and not self.queue:
            self.keep_alive = not (self.dispatcher.closing() or self.descriptors.reserve_in_use)
        return b"" if self.keep_alive else CONNECTION_CLOSE

    def _discard_upload(self) -> None:
        """Drop the upload; if it is incomplete, close the connection after the response."""
        self.descriptors.receiving.pop(self.handle, None)
        if self.upload is not None and not self.upload.is_complete:
            self.keep_alive = False  # the rest of an answered body has no use: its end is not waited for
            self.parser.fail(413)
        self.upload = None

    def start_response(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Start a streamed response with status 200, whose body is read from `source`."""
        if self.closed:
            return
        self._discard_upload()
        self.response = StreamedResponse(source, length, self.parser.http_version)
        self.timers.cancel(self.timeout_timer)
        self.write(self.response.head(headers, self._connection_line()))

    def send_part(self, data: bytes) -> None:
        """Send a part of the body of the streamed response."""
        if self.closed or self.response is None:
            return
        self.write(*self.response.frame(data))
        if self.has_full_output() and self.response is not None:
            self.response.source.suspend_reading()

    def finish_response(self) -> None:
        """Complete the streamed response."""
        if self.closed or self.response is None:
            return
        response = self.response
        self.response = None
        self.request_handle = NO_HANDLE
        self.dispatcher.count_response(self.class_name, 200)
        self.state = FLUSHING
        due = clock() + STREAM_TIMEOUT_FACTOR * self.write_timeout
        self.timeout_timer = self.timers.schedule(due, self.abort, RESPONSE_NOT_READ)
        self.write(response.terminator())

    def abort_response(self) -> None:
        """Leave the streamed response incomplete, in a way that the client can detect."""
        if self.closed or self.response is None:
            return
        response = self.response
        self.response = None
        self.request_handle = NO_HANDLE
        self.dispatcher.count_response(self.class_name, 502)
        if response.framing is Framing.UNTIL_CLOSE:
            self.reset()  # the client would take an orderly close for the end of the response
        else:
            self.abort()

    def has_stopped_reading(self, now: int) -> bool:
        """Return whether the client reads nothing of a response that waits for it."""
        if self.sock is None:
            return True
        if self.read_progress is None:
            self.read_progress = ReadProgress()
        return self.read_progress.has_stopped(self.sock, self.write_paused_at, now)

    def settle_response(self, *, has_response: bool) -> None:
        """Note whether the client has the last response."""
        trace_id = self.unconfirmed_id
        self.unconfirmed_id = b""
        self.dispatcher.response_settled(trace_id, has_response=has_response)

    def has_response(self) -> bool:
        """Return whether the client may have the last response: it has not reset the connection."""
        return not self.closed and self.sock is not None and not host_info.peer_has_reset(self.sock)

    def eof_received(self) -> bool:
        """Note that the client has the last response: with a part of it unread, it would reset."""
        if self.unconfirmed_id and not self.unsent_bytes and self.has_response():
            self.settle_response(has_response=True)
        return super().eof_received()
