"""asyncio's transport over an end of the modelled network, as uvloop has it on sockets.

A write goes to the system at once; what it does not take waits here, and the protocol is told to pause.
"""

import asyncio

from dahliabend.simulation.network import Socket

AT_ONCE = 262_144  # bytes read in one turn


class Transport(asyncio.Transport):
    def __init__(self, loop, sock: Socket, protocol, waiter) -> None:
        end = sock.end
        super().__init__(
            {"socket": sock, "peername": end.remote, "sockname": end.local, "connection": end.number,
             "caller": end.caller.name, "unsent": end.not_read}
        )  # fmt: skip
        self.loop, self.sock, self.end = loop, sock, end
        self.protocol = protocol
        self.takes_buffers = isinstance(protocol, asyncio.BufferedProtocol)
        self.pieces: list[memoryview] = []
        self.buffered = 0
        self.high = 65536
        self.pausing = self.held = self.closing = self.lost = self.told_end = self.ends = False
        loop.call_soon(self.begin, waiter)

    def begin(self, waiter) -> None:
        self.protocol.connection_made(self)
        self.sock.transport = self
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        if not self.closing:
            self.sock.readable()

    # Reading.

    def on_readable(self) -> None:
        end = self.end
        if self.lost or self.closing or self.held:  # not polled: even a reset goes unseen
            return
        if end.reset_seen:
            return self.fail(ConnectionResetError(104, "connection reset by peer"))
        left = AT_ONCE
        try:
            while end.unread and not self.held and not self.closing and left > 0:
                if self.takes_buffers:
                    room = self.protocol.get_buffer(-1)
                    count = min(len(room), len(end.unread))
                    if not count:
                        raise RuntimeError("get_buffer gave no room")
                    room[:count] = end.unread[:count]
                    del end.unread[:count]
                    end.has_read()
                    self.protocol.buffer_updated(count)
                else:
                    data = bytes(end.unread[:65536])
                    count = len(data)
                    del end.unread[:count]
                    end.has_read()
                    self.protocol.data_received(data)
                left -= count
            if end.unread and not self.held and not self.closing:
                return self.sock.readable()
            if end.fin_seen and not end.unread and not (self.told_end or self.held or self.closing):
                self.told_end = True
                if not self.protocol.eof_received():
                    self.close()
        except Exception as error:
            self.loop.call_exception_handler(
                {
                    "message": "protocol failed",
                    "exception": error,
                    "transport": self,
                    "protocol": self.protocol,
                }
            )
            self.fail(error)

    def pause_reading(self) -> None:
        self.held = True

    def resume_reading(self) -> None:
        if self.held:
            self.held = False
            self.sock.readable()

    def is_reading(self) -> bool:
        return not self.held and not self.closing

    # Writing.

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self.high = 65536 if high is None else high

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def write(self, data) -> None:
        if self.closing or self.lost or self.ends or not data:
            return
        if not self.buffered:
            try:
                taken = self.end.send(data)
            except OSError as error:
                return self.fail(error)
            if taken == len(data):
                return
            data = memoryview(data)[taken:]
        self.pieces.append(memoryview(data))
        self.buffered += len(data)
        if self.buffered > self.high and not self.pausing:
            self.pausing = True
            self.protocol.pause_writing()

    def on_writable(self) -> None:
        if self.lost or not self.buffered:
            return
        try:
            while self.pieces:
                piece = self.pieces[0]
                taken = self.end.send(piece)
                self.buffered -= taken
                if taken < len(piece):
                    self.pieces[0] = piece[taken:]
                    return
                self.pieces.pop(0)
        except OSError as error:
            return self.fail(error)
        if self.pausing:
            self.pausing = False
            self.protocol.resume_writing()
        if self.buffered:
            return
        if self.closing:
            self.end_soon(None)
        elif self.ends:
            self.end.shut_writing()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self.ends and not self.closing:
            self.ends = True
            if not self.buffered:
                self.end.shut_writing()

    # Ending.

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            if not self.buffered:
                self.end_soon(None)

    def abort(self) -> None:
        self.fail(None)

    def fail(self, error: Exception | None) -> None:
        self.closing = True
        self.pieces.clear()
        self.buffered = 0
        self.end_soon(error)

    def end_soon(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.loop.call_soon(self.finish, error)

    def finish(self, error: Exception | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.sock.transport = None
            self.sock.close()
            self.protocol = None
