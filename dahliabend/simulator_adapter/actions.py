"""Encoders of the actions in a reply, one for each. Times are milliseconds."""

from collections.abc import Callable
from functools import partial
from struct import Struct, pack

from dahliabend.simulator_adapter.wire_format import ActionCode

MAX_TEXT_BYTES = 65_535  # its length is sent as two bytes


def _encoder(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """A packer of one action's fields, behind the header with its code and the size of its body."""
    body_bytes = Struct(f">{layout}").size
    return partial(Struct(f">BI{layout}").pack, int(code), body_bytes)


# Each packer is called with the fields in the order of its comment, the number of the instance first.

# Instance, request, address, timeout: send an attempt of a request to an endpoint.
send_attempt: Callable[[int, int, bytes, float], bytes] = _encoder(ActionCode.SEND_ATTEMPT, "IQ6sd")
# Instance, request, attempt: stop waiting for an attempt and tell its endpoint.
cancel: Callable[[int, int, int], bytes] = _encoder(ActionCode.CANCEL, "IQH")
# Instance, request, when to retry: answer that a request did not run; 0 names no time.
reject: Callable[[int, int, float], bytes] = _encoder(ActionCode.REJECT, "IQd")
# Instance, request: answer that a request may have run.
fail: Callable[[int, int], bytes] = _encoder(ActionCode.FAIL, "IQ")
# Instance, address: check the health of an endpoint.
check_health: Callable[[int, bytes], bytes] = _encoder(ActionCode.CHECK_HEALTH, "I6s")
# Instance, address: close all idle connections to an endpoint.
close_idle_connections: Callable[[int, bytes], bytes] = _encoder(ActionCode.CLOSE_IDLE_CONNECTIONS, "I6s")
# Instance, token, time on the batches' clock: fire a timer then.
set_timer: Callable[[int, int, float], bytes] = _encoder(ActionCode.SET_TIMER, "IQd")
# Instance: the wire's action of that name, which no decision takes.
pull: Callable[[int], bytes] = _encoder(ActionCode.PULL, "I")
# Instance, whether to: ask discovery for the endpoint list.
_subscribe: Callable[[int, int], bytes] = _encoder(ActionCode.POLL_ENDPOINTS, "IB")


def poll_endpoints(instance: int) -> bytes:
    """Ask discovery for the endpoint list once."""
    return _subscribe(instance, 1)


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
