"""Exceptions of this project: one base, a class for each kind, a field for each fact."""


class DahliabendError(Exception):
    """Base of all errors that this project raises on purpose."""


class ConfigurationError(DahliabendError, ValueError):
    """A configuration that cannot be used.

    Attributes:
        key: Dotted path of the key at fault, or the name of an environment variable.
        reason: Why its value cannot be used, in one line.
        path: File that holds the key; empty if it is not known where the fault is found.
    """

    def __init__(self, key: str, reason: str, path: str = "") -> None:
        self.key = key
        self.reason = reason
        self.path = path
        super().__init__(": ".join(part for part in (path, key, reason) if part))


class FormatError(DahliabendError, ValueError):
    """A text that is not written as a value of its kind: an address, a duration, a size.

    Attributes:
        reason: What is wrong with it, in one line.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class ProtocolError(DahliabendError, ValueError):
    """Bytes from a peer that do not follow their protocol.

    Attributes:
        reason: What is wrong with them, in one line.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class StaleHandleError(DahliabendError, LookupError):
    """A handle whose occupancy is over was used where it must be valid.

    Attributes:
        handle: The handle.
    """

    def __init__(self, handle: int) -> None:
        self.handle = handle
        super().__init__(f"handle {handle} names nothing any more")


class DatagramError(ProtocolError):
    """A membership datagram that cannot be decoded or authenticated."""


class SimulatorProtocolError(ProtocolError):
    """A message of the simulator that does not follow its wire format."""
