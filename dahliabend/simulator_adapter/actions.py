"""Encoders of the actions in a reply, one function for each. Times are milliseconds."""

from collections.abc import Callable
from functools import partial
from struct import Struct, pack

from dahliabend.simulator_adapter.wire_format import ActionCode

MAX_TEXT_BYTES = 65_535  # its length is sent as two bytes


def _encoder(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """A packer of one action's fields, behind the header with its code and the size of its body."""
    body_bytes = Struct(f">{layout}").size
    return partial(Struct(f">BI{layout}").pack, int(code), body_bytes)


_encode_close_idle_connections = _encoder(ActionCode.CLOSE_IDLE_CONNECTIONS, "I6s")
_encode_set_timer = _encoder(ActionCode.SET_TIMER, "IQd")
_encode_fail = _encoder(ActionCode.FAIL, "IQ")
_encode_reject = _encoder(ActionCode.REJECT, "IQd")
_encode_poll_endpoints = _encoder(ActionCode.POLL_ENDPOINTS, "IB")
_encode_check_health = _encoder(ActionCode.CHECK_HEALTH, "I6s")
_encode_cancel = _encoder(ActionCode.CANCEL, "IQH")
_encode_pull = _encoder(ActionCode.PULL, "I")
_encode_send_attempt = _encoder(ActionCode.SEND_ATTEMPT, "IQ6sd")


def send_attempt(instance: int, request: int, address: bytes, timeout: float) -> bytes:
    """Send a request to an endpoint, for as long as the timeout."""
    return _encode_send_attempt(instance, request, address, timeout)


def cancel(instance: int, request: int, attempt: int) -> bytes:
    """Stop waiting for an attempt and tell its endpoint."""
    return _encode_cancel(instance, request, attempt)


def reject(instance: int, request: int, retry_after: float) -> bytes:
    """Answer the client that its request did not run; 0 names no time to come back."""
    return _encode_reject(instance, request, retry_after)


def fail(instance: int, request: int) -> bytes:
    """Answer the client that its request may have run."""
    return _encode_fail(instance, request)


def check_health(instance: int, address: bytes) -> bytes:
    """Check the health of an endpoint."""
    return _encode_check_health(instance, address)


def close_idle_connections(instance: int, address: bytes) -> bytes:
    """Close all idle connections to an endpoint."""
    return _encode_close_idle_connections(instance, address)


def set_timer(instance: int, token: int, at: float) -> bytes:
    """Fire a timer with this token at a time of the batches' clock."""
    return _encode_set_timer(instance, token, at)


def poll_endpoints(instance: int) -> bytes:
    """Ask discovery for the endpoint list once."""
    return _encode_poll_endpoints(instance, 1)


def pull(instance: int) -> bytes:
    """The wire's action of that name; no decision takes it."""
    return _encode_pull(instance)


def send_to_peer(instance: int, peer: int, payload: bytes) -> bytes:
    """Send a message to another instance; no more than `MAX_TEXT_BYTES` of it."""
    return _encode_text(ActionCode.SEND_TO_PEER, pack(">II", instance, peer), payload)


def fault(instance: int, text: str) -> bytes:
    """Report that the decisions of an instance failed."""
    return _encode_text(ActionCode.FAULT, pack(">I", instance), text.encode(errors="replace"))


def log_line(instance: int, text: str) -> bytes:
    """Write a line to the simulator's log."""
    return _encode_text(ActionCode.LOG_LINE, pack(">I", instance), text.encode(errors="replace"))


def _encode_text(code: ActionCode, fields: bytes, text: bytes) -> bytes:
    text = text[:MAX_TEXT_BYTES]
    body = fields + pack(">H", len(text)) + text
    return pack(">BI", code, len(body)) + body
