"""Payloads that balancers gossip inside membership datagrams: health of upstreams, leases, shared limits.

Pinned are the bytes and their decoding, the fencing tokens and holders of leases across a takeover, and the
ranking of members for a task, which all balancers must compute alike.
"""

import json
from random import Random
from types import SimpleNamespace

import msgspec
from golden_files import as_json, read_golden, write_golden

from dahliabend.health_gossip.gossip import HealthGossip
from dahliabend.health_gossip.reports import HealthReport, QuotaAnnouncement, UpstreamCounts
from dahliabend.leases.candidate_order import Candidate, rank_candidates
from dahliabend.leases.election import LeaseElection
from dahliabend.leases.lease import LeaseAnnouncement
from dahliabend.model import Outcome
from dahliabend.server.shared_health_checks import health_check_task

GOSSIP_GOLDEN = "gossip_payloads.json"
LEASES_GOLDEN = "leases.json"
SECOND = 1_000_000
GOSSIP_INTERVAL = SECOND // 2
START = 100 * SECOND
MEMBERS = ["b1", "b2", "b3", "b4", "b5"]

# Arguments are passed by name, so that a field that moves to another place in the encoded array is noticed.
REPORTS_OF_PEERS = [
    HealthReport(
        origin="b2",
        generation=9,
        sequence=4,
        age_ms=250,
        relay_count=0,
        counts=[
            UpstreamCounts(pool="records", upstream="s-1", attempts=5, failures=4),
            UpstreamCounts(pool="records", upstream="s-9", attempts=2, failures=2),
        ],
    ),
    HealthReport(
        origin="b3",
        generation=8,
        sequence=1,
        age_ms=0,
        relay_count=2,
        counts=[],
        leases=[
            LeaseAnnouncement(
                task="probe records s-1",
                fencing_token=5 << 16 | 77,
                holder="b3",
                completed_runs=6,
                age_ms=40,
                result=1,
            )
        ],
        quotas=[
            QuotaAnnouncement(limit="submits", share=0.25, demand=0.5),
            QuotaAnnouncement(limit="rest", share=0.125, demand=0.0),
        ],
    ),
]


def to_arrays(value) -> list:
    """Return a message as the arrays into which it is encoded."""
    return msgspec.to_builtins(value)


def produce_gossip() -> str:
    """Return the reports of one member over three gossip rounds, with relayed ones, and decoded reports."""
    gossip = HealthGossip("b1", 1_764_653_000_000_000, Random(5))
    leases = [
        LeaseAnnouncement(
            task="probe records s-2",
            fencing_token=3 << 16 | 12,
            holder="b1",
            completed_runs=9,
            age_ms=120,
            result=5,
        ),
        LeaseAnnouncement(task="probe records s-3", fencing_token=9, holder="b1", completed_runs=0, age_ms=0),
    ]
    gossip.leases = lambda now: leases
    gossip.quotas = lambda: [QuotaAnnouncement(limit="submits", share=0.333333, demand=0.4)]
    announcements: list = []
    gossip.on_lease = lambda now, lease: announcements.append([now, to_arrays(lease)])
    gossip.on_quota = lambda now, origin, quota: announcements.append([now, origin, to_arrays(quota)])
    for number, outcome in enumerate(Outcome):
        gossip.record_outcome(START + number, "records", "s-1", outcome)
    gossip.record_outcome(START, "records", "s-2", Outcome.SUCCEEDED)
    gossip.record_outcome(START, "archive", "a-1", Outcome.RESET)
    sent = []
    for gossip_round in range(3):
        now = START + gossip_round * GOSSIP_INTERVAL
        if gossip_round == 1:
            gossip.receive(now, msgspec.msgpack.encode(REPORTS_OF_PEERS))
            gossip.receive(now, b"unreadable")
        gossip.tick(now, MEMBERS)
        sent.append([[name, data.hex()] for name, data in gossip.outbox])
        gossip.outbox = []
    reports = {
        name: [origin.created_at, to_arrays(origin.report)]
        for name, origin in sorted(gossip.report_table.fresh(START + 2 * GOSSIP_INTERVAL).items())
    }
    return as_json({"sent": sent, "heard": announcements, "held": reports, "unread": gossip.undecodable})


def test_reports_are_encoded_and_relayed_as_in_the_golden_file() -> None:
    assert produce_gossip() == read_golden(GOSSIP_GOLDEN)


def test_recorded_payload_is_decoded_by_another_member() -> None:
    payload = json.loads(read_golden(GOSSIP_GOLDEN))["sent"][1][0][1]
    receiver, leases, quotas = HealthGossip("b5", 1, Random(1)), [], []
    receiver.on_lease = lambda now, lease: leases.append(to_arrays(lease))
    receiver.on_quota = lambda now, origin, quota: quotas.append([now, origin, to_arrays(quota)])
    receiver.receive(START + SECOND, bytes.fromhex(payload))
    reports = receiver.report_table.fresh(START + SECOND)
    assert to_arrays(reports["b1"].report.counts) == [["records", "s-1", 5, 4], ["archive", "a-1", 1, 1]]
    counts = [["records", "s-1", 5, 4], ["records", "s-9", 2, 2]]
    assert to_arrays(reports["b2"].report) == ["b2", 9, 4, 250, 1, counts, [], []]
    assert leases == [
        ["probe records s-2", 3 << 16 | 12, "b1", 9, 120, 5],
        ["probe records s-3", 9, "b1", 0, 0, 0],
        ["probe records s-1", 5 << 16 | 77, "b3", 6, 40, 1],
    ]
    assert quotas == [
        [START + SECOND, "b1", ["submits", 0.333333, 0.4]],
        [START + SECOND, "b3", ["submits", 0.25, 0.5]],
        [START + SECOND, "b3", ["rest", 0.125, 0.0]],
    ]


def test_fields_missing_from_a_report_of_an_older_version_take_their_defaults() -> None:
    receiver = HealthGossip("b5", 1, Random(1))
    receiver.receive(START, msgspec.msgpack.encode([["b2", 9, 4, 0, 0, [["records", "s-1", 5, 4]]]]))
    assert to_arrays(receiver.report_table.fresh(START)["b2"].report)[6:] == [[], []]


def test_outcomes_keep_their_numbers() -> None:
    """The result in a lease announcement is such a number, the outcome of the health check."""
    numbers = [
        Outcome.SUCCEEDED,
        Outcome.FAILED,
        Outcome.REJECTED,
        Outcome.TIMED_OUT,
        Outcome.UNREACHABLE,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.NOT_SENT,
    ]
    assert [int(number) for number in numbers] == [1, 2, 3, 4, 5, 6, 7, 8]


def test_lease_of_a_health_check_keeps_its_task_name() -> None:
    assert health_check_task("records-next", SimpleNamespace(name="s-1")) == "probe records-next s-1"


def produce_leases() -> str:
    """Return which member runs which of four leased tasks when, and its fencing token.

    Three members share the tasks; then one stops, and another joins.
    """
    zones = {f"probe records s-{number}": "ab"[number % 2] for number in range(4)}
    members = [Candidate("b1", "a"), Candidate("b2", "b"), Candidate("b3", "b")]
    instances = {name: LeaseElection(name, 4 * SECOND) for name, _ in members}
    wire: list[LeaseAnnouncement] = []
    runs, last_announcements = [], {}
    for tick in range(60):
        now = START + tick * GOSSIP_INTERVAL
        if tick == 25:  # b2 stops without leaving; the others remove it after three seconds
            del instances["b2"]
        if tick == 31:
            members.remove(Candidate("b2", "b"))
        if tick == 44:
            instances["b4"] = LeaseElection("b4", 4 * SECOND)
            members.append(Candidate("b4", "b"))
        received, wire = wire, []
        for name, instance in instances.items():
            instance.update_members(now, members, True)
            instance.update_tasks(now, zones)
            for announcement in received:
                instance.apply_announcement(now, announcement)
            for due in instance.tick(now):
                runs.append([tick, name, due.task, due.fencing_token, instance.complete(now, due, 1)])
            wire += instance.announcements(now)
            last_announcements[name] = [to_arrays(lease) for lease in instance.announcements(now)]
    names = [f"b{number}" for number in range(8)]
    rankings = {
        f"{task}, zone {zone!r}": rank_candidates(
            task, [Candidate(name, "ab"[n % 2]) for n, name in enumerate(names)], zone
        )
        for task in (*zones, "probe archive bälter")
        for zone in ("", "a")
    }
    return as_json({"worked": runs, "told_at_the_end": last_announcements, "orders": rankings})


def test_leases_have_the_recorded_holders_and_fencing_tokens() -> None:
    assert produce_leases() == read_golden(LEASES_GOLDEN)


def test_golden_file_contains_leases_that_change_their_holder() -> None:
    runs = json.loads(read_golden(LEASES_GOLDEN))["worked"]
    holders = {
        task: {name for _, name, other_task, *_ in runs if other_task == task} for _, _, task, *_ in runs
    }
    assert len(holders) == 4
    assert {"b1", "b2", "b3", "b4"} == set.union(*holders.values())
    assert any(len(names) > 1 for names in holders.values())


if __name__ == "__main__":
    write_golden(GOSSIP_GOLDEN, produce_gossip())
    write_golden(LEASES_GOLDEN, produce_leases())
