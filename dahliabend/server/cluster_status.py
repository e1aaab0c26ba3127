"""The state of the cluster for operators: metrics for the log, and all members for the admin API.

Times are ages in milliseconds.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.membership.view import Exclusion, MembershipView, MemberState, MemberView

MICROSECONDS_PER_MILLISECOND = 1000
CONFIDENCE_DIGITS = 3  # decimal places


class MembershipMetrics(msgspec.Struct, frozen=True):
    """The metrics of the membership protocol.

    The log uses the names of the fields; the admin API uses the names that they are encoded with.
    """

    version: int
    checksum: str = msgspec.field(name="mark")
    members: int
    suspected: int
    stable: bool
    possibly_partitioned: bool = msgspec.field(name="cut")
    exclusion: Exclusion = msgspec.field(name="outcast")
    time_since_contact_ms: int = msgspec.field(name="age_ms")
    confidence: float
    health_score: int = msgspec.field(name="doubt")
    datagrams_sent: int = msgspec.field(name="sent")
    bytes_sent: int = msgspec.field(name="sent_bytes")
    datagrams_received: int = msgspec.field(name="come")
    bytes_received: int = msgspec.field(name="come_bytes")
    datagrams_dropped: dict[str, int] = msgspec.field(name="dropped")


def membership_metrics(
    view: MembershipView, protocol: MembershipProtocol, transport: UdpTransport
) -> MembershipMetrics:
    """Collect the metrics of the membership protocol."""
    return MembershipMetrics(
        version=view.version,
        checksum=view.checksum,
        members=len(view.members),
        suspected=sum(member.state is MemberState.SUSPECTED for member in view.members),
        stable=view.stable,
        possibly_partitioned=view.possibly_partitioned,
        exclusion=view.exclusion,
        time_since_contact_ms=view.time_since_contact // MICROSECONDS_PER_MILLISECOND,
        confidence=round(view.confidence, CONFIDENCE_DIGITS),
        health_score=protocol.health_score,
        datagrams_sent=transport.sent,
        bytes_sent=transport.sent_bytes,
        datagrams_received=transport.received,
        bytes_received=transport.received_bytes,
        datagrams_dropped={str(reason): count for reason, count in protocol.dropped_datagrams.items()},
    )


def membership_status(
    now: int, view: MembershipView, stable_view: MembershipView | None, protocol: MembershipProtocol
) -> dict[str, Any]:
    """Return the present and departed members and the last stable view, for `/api/members`."""
    return {
        "here": [_present_member_fields(now, member) for member in view.members],
        "gone": list(_departed_member_fields(now, protocol)),
        "settled": None if stable_view is None else _stable_view_fields(now, stable_view),
    }


def _present_member_fields(now: int, member: MemberView) -> dict[str, Any]:
    return {
        "name": member.name,
        "address": member.address,
        "zone": member.zone,
        "weight": member.weight,
        "life": member.generation,
        "incarnation": member.incarnation,
        "state": member.state,
        "by": member.reported_by,
        "cannot_reach": member.unreachable_peers,
        "since_ms": (now - member.since) // MICROSECONDS_PER_MILLISECOND if member.since else None,
    }


def _departed_member_fields(now: int, protocol: MembershipProtocol) -> Iterable[dict[str, Any]]:
    for name in protocol.departed:
        member = protocol.members[name]
        update = member.update
        yield {
            "name": name,
            "address": update.address,
            "zone": update.zone,
            "state": update.status.name.lower(),
            "by": update.reported_by,
            "incarnation": update.incarnation,
            "since_ms": (now - member.since) // MICROSECONDS_PER_MILLISECOND,
        }


def _stable_view_fields(now: int, stable_view: MembershipView) -> dict[str, Any]:
    return {
        "version": stable_view.version,
        "mark": stable_view.checksum,
        "members": [member.name for member in stable_view.members],
        "age_ms": (now - stable_view.at) // MICROSECONDS_PER_MILLISECOND,
    }
