"""One watch of the endpoint list, from its request until it ends."""

from collections.abc import Callable

import httptools
import orjson

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget

MAX_LINE_BYTES = 8 * 1024 * 1024
HTTP_OK = 200


class WatchConnection(Connection):
    """A request whose response goes on for as long as the watch lasts: one message a line.

    What cannot be read ends it; the next watch asks for what this one has missed.
    """

    def __init__(
        self,
        descriptors: DescriptorBudget,
        endpoint_list: EndpointList,
        on_data: Callable[[], None],
        on_end: Callable[["WatchConnection"], None],
    ) -> None:
        """Creates it; `dial` connects it.

        Args:
            descriptors: Owner of its descriptor.
            endpoint_list: Where its messages go.
            on_data: Called after each read.
            on_end: Called once it is closed.
        """
        super().__init__(descriptors)
        self.endpoint_list = endpoint_list
        self.on_data = on_data
        self.on_end = on_end
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line = bytearray()
        self.first = True  # no message has come yet

    def send_request(self, host: str) -> None:
        """Asks for the changes after the known version, or for the full list."""
        version = self.endpoint_list.version
        after = b"&after=%d" % version if version >= 0 else b""
        self.write(b"GET /api/targets?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (after, host.encode()))

    def ignore_data(self) -> None:
        """Reports reads no more; its messages still count."""
        self.on_data = _do_nothing

    # Called by the parser. An error raised here ends the watch.

    def on_headers_complete(self) -> None:
        """Raises ValueError if the watch is refused."""
        if self.parser.get_status_code() != HTTP_OK:
            raise ValueError("watch refused")

    def on_body(self, part: bytes) -> None:
        """Applies the messages that are complete."""
        self.partial_line += part
        while (end := self.partial_line.find(b"\n")) >= 0:
            line = bytes(self.partial_line[:end]).strip()
            del self.partial_line[: end + 1]
            if line:  # an empty one is a heartbeat
                self.endpoint_list.apply(orjson.loads(line), self.first)
                self.first = False
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise ValueError("too long a line")

    def on_message_complete(self) -> None:
        """Raises ValueError, as a watch has no end of its own."""
        raise ValueError("watch ended")

    def bytes_received(self, view: memoryview) -> None:
        """Reads on; a watch that cannot be read is closed."""
        try:
            self.parser.feed_data(view)
            self.on_data()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.endpoint_list.log("watch.broken", reason=repr(error.__context__ or error))
            self.abort()

    def connection_closed(self) -> None:
        """Reports the end."""
        del self.parser  # it holds this connection and its buffers
        self.on_end(self)


def _do_nothing() -> None: ...
