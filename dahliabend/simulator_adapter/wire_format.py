"""Records of the simulator's wire: their codes, names and layouts, each beside its standard name.

All numbers are big-endian, all times are milliseconds as doubles, addresses are opaque strings of six bytes.
The simulator's own names stand in `RECORD_FORMATS` and in the comments of `ActionCode`, and nowhere else.
"""

from enum import IntEnum
from struct import Struct
from typing import NamedTuple

BATCH_HEADER = Struct(">dII")  # clock, bytes behind this field, number of records
RECORD_HEADER = Struct(">BI")  # code, bytes of the record behind this header
ENDPOINT_ENTRY = Struct(">dfHB6sBH")  # started at, weight, cell, zone, address, state, reserved
REPORT_FIELD_BYTES = 4  # of each figure of a load report; load reports are read by nobody here


class DiscoveryUpdate(NamedTuple):
    """An endpoint list takes effect at one instance, or discovery failed there."""

    instance: int
    sequence: int
    scope: int  # an `UpdateScope`
    list_number: int


class PeerMessage(NamedTuple):
    """Another instance's message."""

    instance: int
    sender: int
    payload_bytes: int
    payload: bytes


class AttemptFinished(NamedTuple):
    """How an attempt ended."""

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
    """The head of an attempt's response has come."""

    instance: int
    request: int
    attempt: int
    address: bytes
    duration: float


class InstanceStart(NamedTuple):
    """A new instance, in place of one that may have had its number."""

    instance: int
    seed: int
    settings_bytes: int
    settings: bytes


class EndpointList(NamedTuple):
    """An endpoint list, for any instance; a later `DiscoveryUpdate` names it by its number."""

    list_number: int
    entry_count: int
    entries: bytes


class HealthCheckFinished(NamedTuple):
    """How a health check ended."""

    instance: int
    address: bytes
    outcome: int  # a `model.Outcome`
    duration: float
    report_fields: int
    report: bytes


class InstanceStop(NamedTuple):
    """An instance is gone, with all that it knew."""

    instance: int


class ClientDisconnected(NamedTuple):
    """The client of a request has gone."""

    instance: int
    request: int


class TimerFired(NamedTuple):
    """The time that a `set_timer` action named has come."""

    instance: int
    token: int


class RequestReceived(NamedTuple):
    """A client's request."""

    instance: int
    request: int
    request_class: int
    tenant: int
    key: int
    deadline: float
    reserved: float
    options: int


# A bit of `RequestReceived.options`.
IS_REPEATED = 2  # the client sent the same request before

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
    """What a `DiscoveryUpdate` says of the endpoint list that it names."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3  # discovery did not answer; the list is not read


class RecordFormat(NamedTuple):
    """One kind of record on the wire."""

    wire_name: str  # of the simulator, as errors name it
    kind: type[Record]
    fixed_part: Struct
    item_bytes: int = 0  # of each item behind the fixed part, counted by its last field; 0: there are none


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
WIRE_NAMES: dict[type[Record], str] = {form.kind: form.wire_name for form in RECORD_FORMATS.values()}
RECORD_CODES: dict[type[Record], int] = {form.kind: code for code, form in RECORD_FORMATS.items()}


class ActionCode(IntEnum):
    """Codes of the actions in a reply, with the simulator's name where it differs."""

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
