"""One watch of the endpoint list, from its request until its end."""

from collections.abc import Callable

import httptools
import orjson

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import clock

MAX_LINE_BYTES = 8 * 1024 * 1024
MIN_LINE_LIMIT = 1024 * 1024  # bytes that a line may have however little memory there is
STATUS_OK = 200


class WatchConnection(Connection):
    """A request whose response lasts as long as the watch, with one message per line.

    Data that cannot be parsed ends the watch; the next watch asks for the changes that this one missed.

    Attributes:
        requested_at: Clock time (us) at which the request was sent; 0 before.
        awaits_first_message: Whether no message has been applied yet.
    """

    def __init__(
        self,
        descriptors: DescriptorBudget,
        endpoint_list: EndpointList,
        on_data: Callable[["WatchConnection"], None],
        on_end: Callable[["WatchConnection"], None],
    ) -> None:
        """Create a connection that is not connected yet; `dial` connects it.

        Args:
            descriptors: Owner of the connection's descriptor.
            endpoint_list: Applies the messages.
            on_data: Called after each read.
            on_end: Called once the connection is closed.
        """
        super().__init__(descriptors)
        self.endpoint_list = endpoint_list
        self.on_data = on_data
        self.on_end = on_end
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line = bytearray()
        self.requested_at = 0
        self.awaits_first_message = True

    def send_request(self, host: str) -> None:
        """Ask for the changes after the applied version, or for the full list if there is none."""
        self.requested_at = clock()
        version = self.endpoint_list.version
        after = b"&after=%d" % version if version >= 0 else b""
        self.write(b"GET /api/targets?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (after, host.encode()))

    def stop_reporting_data(self) -> None:
        """Stop reporting received data by `on_data`; messages are still applied."""
        self.on_data = _do_nothing

    # Parser callbacks. An error raised in one of them ends the watch.

    def on_headers_complete(self) -> None:
        """Check the response status.

        Raises:
            ValueError: The discovery service refused the watch.
        """
        if self.parser.get_status_code() != STATUS_OK:
            raise ValueError("watch refused")

    def on_body(self, data: bytes) -> None:
        """Apply the messages that have been received in full.

        Raises:
            ValueError: A line is too long, or a message cannot be applied.
        """
        searched = len(self.partial_line)
        self.partial_line += data
        while (end := self.partial_line.find(b"\n", searched)) >= 0:
            searched = 0
            line = bytes(self.partial_line[:end]).strip()
            del self.partial_line[: end + 1]
            if line:  # an empty line is a heartbeat
                self.endpoint_list.apply(orjson.loads(line), self.awaits_first_message)
                self.awaits_first_message = False
        if len(self.partial_line) > max(MIN_LINE_LIMIT, min(MAX_LINE_BYTES, self.memory.capacity // 2)):
            raise ValueError("too long a line")

    def buffered_bytes(self) -> int:
        """Return how many bytes of the list and of the connection are held."""
        return len(self.partial_line) + len(self.unprocessed) + self.unsent_bytes

    def on_message_complete(self) -> None:
        """End the watch.

        Raises:
            ValueError: Always, because the response to a watch has no regular end.
        """
        raise ValueError("watch ended")

    def bytes_received(self, view: memoryview) -> None:
        """Parse received bytes; close the connection if they are invalid."""
        try:
            self.parser.feed_data(view)
            self.on_data(self)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.endpoint_list.log("watch.broken", reason=repr(error.__context__ or error))
            self.abort()

    def connection_closed(self) -> None:
        """Report the end of the watch."""
        del self.parser  # it holds references to this connection and its buffers
        self.on_end(self)


def _do_nothing(watch: WatchConnection) -> None: ...
