"""What operators are shown of a cluster: counts for the log, and all members for the admin call.

Times are in milliseconds, and count back from now.
"""

from collections.abc import Iterable
from typing import Any

from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.membership.view import MembershipView, MemberState, MemberView

MICROSECONDS = 1000  # in a millisecond
CONFIDENCE_DIGITS = 3  # decimal places


def membership_metrics(
    view: MembershipView, protocol: MembershipProtocol, transport: UdpTransport
) -> dict[str, Any]:
    """Return the metrics of membership, by the names that they have in the log."""
    return {
        "version": view.version,
        "mark": view.checksum,
        "members": len(view.members),
        "suspected": sum(member.state is MemberState.SUSPECTED for member in view.members),
        "stable": view.stable,
        "cut": view.possibly_partitioned,
        "outcast": view.exclusion,
        "age_ms": view.time_since_contact // MICROSECONDS,
        "confidence": round(view.confidence, CONFIDENCE_DIGITS),
        "doubt": protocol.health_score,
        "sent": transport.sent,
        "sent_bytes": transport.sent_bytes,
        "come": transport.received,
        "come_bytes": transport.received_bytes,
        "dropped": dict(protocol.dropped_datagrams),
    }


def membership_status(
    now: int, view: MembershipView, settled: MembershipView | None, protocol: MembershipProtocol
) -> dict[str, Any]:
    """Return the members that are present, those that have gone, and the last settled view."""
    return {
        "here": [_present_member(now, member) for member in view.members],
        "gone": list(_departed_members(now, protocol)),
        "settled": None if settled is None else _settled_view(now, settled),
    }


def _present_member(now: int, member: MemberView) -> dict[str, Any]:
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
        "since_ms": (now - member.since) // MICROSECONDS if member.since else None,
    }


def _departed_members(now: int, protocol: MembershipProtocol) -> Iterable[dict[str, Any]]:
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
            "since_ms": (now - member.since) // MICROSECONDS,
        }


def _settled_view(now: int, settled: MembershipView) -> dict[str, Any]:
    return {
        "version": settled.version,
        "mark": settled.checksum,
        "members": [member.name for member in settled.members],
        "age_ms": (now - settled.at) // MICROSECONDS,
    }
