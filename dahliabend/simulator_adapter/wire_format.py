"""Records and action codes of the simulator's wire protocol: codes, layouts and names.

All numbers are big-endian, all times are milliseconds as doubles, addresses are opaque strings of six bytes.
The simulator has its own names for records and actions. They appear only in `RECORD_FORMATS` and in the
comments of `ActionCode`; all other code uses the standard names.
"""

from enum import IntEnum
from struct import Struct
from typing import NamedTuple

BATCH_HEADER = Struct(">dII")  # clock, number of bytes after this field, number of records
RECORD_HEADER = Struct(">BI")  # code, number of bytes of the record after this header
ENDPOINT_ENTRY = Struct(">dfHB6sBH")  # started at, weight, cell, zone, address, state, reserved
REPORT_FIELD_BYTES = 4  # size of each field of a load report; the adapter ignores load reports


class DiscoveryUpdate(NamedTuple):
    """Delivery of an endpoint list to an instance, or a failed discovery request of that instance."""

    instance: int
    sequence: int
    scope: int  # an `UpdateScope`
    list_number: int


class PeerMessage(NamedTuple):
    """A message from another instance."""

    instance: int
    sender: int
    payload_bytes: int
    payload: bytes


class AttemptFinished(NamedTuple):
    """The outcome of an attempt."""

    instance: int
    request: int
    attempt: int
    duration: float
    is_complete: int
    outcome: int  # a `model.Outcome`
    address: bytes
    report_fields: int
    report: bytes


class ResponseStarted(NamedTuple):
    """Arrival of the response head of an attempt."""

    instance: int
    request: int
    attempt: int
    address: bytes
    duration: float


class InstanceStart(NamedTuple):
    """Start of an instance; it replaces a running instance with the same number."""

    instance: int
    seed: int
    settings_bytes: int
    settings: bytes


class EndpointList(NamedTuple):
    """The entries of an endpoint list, to which later `DiscoveryUpdate` records refer by list number."""

    list_number: int
    entry_count: int
    entries: bytes


class HealthCheckFinished(NamedTuple):
    """The outcome of a health check."""

    instance: int
    address: bytes
    outcome: int  # a `model.Outcome`
    duration: float
    report_fields: int
    report: bytes


class InstanceStop(NamedTuple):
    """Stop of an instance, whose state is lost."""

    instance: int


class ClientDisconnected(NamedTuple):
    """Disconnection of the client of a request."""

    instance: int
    request: int


class TimerFired(NamedTuple):
    """Expiry of a timer that a `set_timer` action set."""

    instance: int
    token: int


class RequestReceived(NamedTuple):
    """Arrival of a client's request."""

    instance: int
    request: int
    request_class: int
    tenant: int
    key: int
    deadline: float
    reserved: float
    options: int


# Bit of `RequestReceived.options`
IS_REPEATED = 2  # the client has sent the same request before

InstanceRecord = (
    DiscoveryUpdate
    | PeerMessage
    | AttemptFinished
    | ResponseStarted
    | HealthCheckFinished
    | ClientDisconnected
    | TimerFired
    | RequestReceived
)
Record = InstanceRecord | InstanceStart | InstanceStop | EndpointList


class UpdateScope(IntEnum):
    """How a `DiscoveryUpdate` applies the endpoint list to which it refers."""

    DELTA = 0  # changed entries only
    FULL = 1
    CACHED = 2  # applied like `FULL`
    FAILED = 3  # discovery did not respond; the list number is ignored


class RecordFormat(NamedTuple):
    """The encoding of one record type."""

    wire_name: str  # the simulator's name for the record, used in error messages
    record_type: type[Record]
    fixed_part: Struct
    # Size of each item after the fixed part, whose last field is the number of items. 0: there are no items.
    item_bytes: int = 0


RECORD_FORMATS: dict[int, RecordFormat] = {
    16: RecordFormat("UPDATE", DiscoveryUpdate, Struct(">IIBH")),
    17: RecordFormat("WHISPER", PeerMessage, Struct(">IIH"), 1),
    18: RecordFormat("RETURNED", AttemptFinished, Struct(">IQHdBB6sB"), REPORT_FIELD_BYTES),
    19: RecordFormat("HEAD_RECEIVED", ResponseStarted, Struct(">IQH6sd")),
    20: RecordFormat("SPAWN", InstanceStart, Struct(">IQI"), 1),
    21: RecordFormat("CENSUS", EndpointList, Struct(">HI"), ENDPOINT_ENTRY.size),
    22: RecordFormat("HEALTH", HealthCheckFinished, Struct(">I6sBdB"), REPORT_FIELD_BYTES),
    23: RecordFormat("CRASH_NOW", InstanceStop, Struct(">I")),
    24: RecordFormat("CLIENT_GONE", ClientDisconnected, Struct(">IQ")),
    25: RecordFormat("BELL", TimerFired, Struct(">IQ")),
    26: RecordFormat("JOB_IN", RequestReceived, Struct(">IQBIQddB")),
}
WIRE_NAMES: dict[type[Record], str] = {
    record_format.record_type: record_format.wire_name for record_format in RECORD_FORMATS.values()
}
RECORD_CODES: dict[type[Record], int] = {
    record_format.record_type: code for code, record_format in RECORD_FORMATS.items()
}


class ActionCode(IntEnum):
    """Codes of the actions in a reply. Comments give the simulator's name where it differs."""

    CLOSE_IDLE_CONNECTIONS = 16  # hang up
    FAULT = 17
    SET_TIMER = 18  # wake me
    FAIL = 19  # finish error
    LOG_LINE = 20  # log
    REJECT = 21  # refuse
    POLL_ENDPOINTS = 22  # subscribe
    CHECK_HEALTH = 23  # sound out
    CANCEL = 24
    PULL = 25
    SEND_ATTEMPT = 26  # transmit
    SEND_TO_PEER = 27  # memo
