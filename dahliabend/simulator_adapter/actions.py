"""Encoders of the actions in a reply, one function for each action. Times are in milliseconds."""

from collections.abc import Callable
from functools import partial
from struct import Struct, pack

from dahliabend.simulator_adapter.wire_format import ActionCode

MAX_TEXT_BYTES = 65_535  # the length field of a text has two bytes


def _make_encoder(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """Return a function that packs an action: a header with its code and body size, then the fields."""
    body_bytes = Struct(f">{layout}").size
    return partial(Struct(f">BI{layout}").pack, int(code), body_bytes)


# The comment above each function lists its arguments in order, then says what the action does.

# Instance, request, address, timeout: send an attempt of a request to an endpoint.
send_attempt: Callable[[int, int, bytes, float], bytes] = _make_encoder(ActionCode.SEND_ATTEMPT, "IQ6sd")
# Instance, request, attempt: cancel an attempt and notify its endpoint.
cancel: Callable[[int, int, int], bytes] = _make_encoder(ActionCode.CANCEL, "IQH")
# Instance, request, retry delay: respond that the request was not executed. A delay of 0 is not announced.
reject: Callable[[int, int, float], bytes] = _make_encoder(ActionCode.REJECT, "IQd")
# Instance, request: respond that the request failed and may have been executed.
fail: Callable[[int, int], bytes] = _make_encoder(ActionCode.FAIL, "IQ")
# Instance, address: check the health of an endpoint.
check_health: Callable[[int, bytes], bytes] = _make_encoder(ActionCode.CHECK_HEALTH, "I6s")
# Instance, address: close all idle connections to an endpoint.
close_idle_connections: Callable[[int, bytes], bytes] = _make_encoder(
    ActionCode.CLOSE_IDLE_CONNECTIONS, "I6s"
)
# Instance, token, time on the clock of the batches: fire a timer at that time.
set_timer: Callable[[int, int, float], bytes] = _make_encoder(ActionCode.SET_TIMER, "IQd")
# Instance: the protocol's `pull` action, which the policy never takes.
pull: Callable[[int], bytes] = _make_encoder(ActionCode.PULL, "I")
# Instance, 1 to request or 0 not to: request the endpoint list from discovery.
_encode_poll_endpoints: Callable[[int, int], bytes] = _make_encoder(ActionCode.POLL_ENDPOINTS, "IB")


def poll_endpoints(instance: int) -> bytes:
    """Encode a single request for the endpoint list from discovery."""
    return _encode_poll_endpoints(instance, 1)


def send_to_peer(instance: int, peer: int, payload: bytes) -> bytes:
    """Encode a message to another instance, truncated to `MAX_TEXT_BYTES`."""
    return _encode_text(ActionCode.SEND_TO_PEER, pack(">II", instance, peer), payload)


def fault(instance: int, text: str) -> bytes:
    """Encode a report that the policy of an instance raised an exception."""
    return _encode_text(ActionCode.FAULT, pack(">I", instance), text.encode(errors="replace"))


def log_line(instance: int, text: str) -> bytes:
    """Encode a line for the simulator's log."""
    return _encode_text(ActionCode.LOG_LINE, pack(">I", instance), text.encode(errors="replace"))


def _encode_text(code: ActionCode, fields: bytes, text: bytes) -> bytes:
    text = text[:MAX_TEXT_BYTES]
    body = fields + pack(">H", len(text)) + text
    return pack(">BI", code, len(body)) + body
