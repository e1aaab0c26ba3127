"""Whether the peer of a connection goes on reading what it is sent, however slowly."""

import socket

from dahliabend.transport import host_info

READ_TIMEOUT = 2_500_000  # microseconds without progress after which a peer counts as stopped
UNKNOWN = -1


class ReadProgress:
    """Compares what the peer's system has not acknowledged at one look with what it had not at the last one.

    The transport becomes writable again only when much of the kernel's send buffer is free, so a peer that
    reads slowly may keep it paused for seconds. The acknowledgements show its progress meanwhile.

    Attributes:
        unacknowledged: Bytes that had not been acknowledged at the last look.
        seen_at: Clock time (us) of the last progress.
    """

    def __init__(self) -> None:
        self.unacknowledged = UNKNOWN
        self.seen_at = 0

    def has_stopped(self, sock: socket.socket, paused_at: int, now: int) -> bool:
        """Return whether the peer has read nothing for `READ_TIMEOUT`, as far as that can be seen.

        Args:
            sock: The socket of the connection.
            paused_at: Clock time (us) at which the kernel last took no more.
            now: Clock time (us).
        """
        unacknowledged = host_info.unacknowledged_bytes(sock)
        if unacknowledged != self.unacknowledged:
            self.unacknowledged = unacknowledged
            self.seen_at = now
        self.seen_at = max(self.seen_at, paused_at)
        return now - self.seen_at > READ_TIMEOUT
