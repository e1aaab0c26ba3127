"""The exceptions of this project, all derived from `DahliabendError`."""


class DahliabendError(Exception):
    """Base class of the exceptions that this project raises."""


class ConfigurationError(DahliabendError, ValueError):
    """A configuration that cannot be used.

    Attributes:
        key: Dotted path of the invalid key, or the name of an environment variable.
        reason: Why its value cannot be used, in one line.
        path: File that holds the key; empty if the raising code does not know it.
    """

    def __init__(self, key: str, reason: str, path: str = "") -> None:
        self.key = key
        self.reason = reason
        self.path = path
        super().__init__(": ".join(part for part in (path, key, reason) if part))


class FormatError(DahliabendError, ValueError):
    """A text that does not parse as the expected value, such as an address, a duration or a size.

    Attributes:
        reason: What is wrong with the text, in one line.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class ProtocolError(DahliabendError, ValueError):
    """Data from a peer that violates the protocol.

    Attributes:
        reason: What is wrong with the data, in one line.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class StaleHandleError(DahliabendError, LookupError):
    """A handle was used after the object that it identified had been released.

    Attributes:
        handle: The handle.
    """

    def __init__(self, handle: int) -> None:
        self.handle = handle
        super().__init__(f"handle {handle} is stale: its object has been released")


class DatagramError(ProtocolError):
    """A membership datagram that cannot be decoded or authenticated."""


class SimulatorProtocolError(ProtocolError):
    """A message from the simulator that violates its wire format."""
