"""What balancers tell each other inside membership datagrams: health of upstreams, leases, shared limits.

Pinned are the bytes and how they are read, the fencing numbers and holders of leases over a takeover, and the
order in which members come to a task: all balancers have to work out the same one.
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
BEAT = SECOND // 2
START = 100 * SECOND
MEMBERS = ["b1", "b2", "b3", "b4", "b5"]

# Values go by name: one that changes its place in the encoded array shows.
FROM_OTHERS = [
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


def plain(value) -> list:
    """A message as the arrays that stand for it on the wire."""
    return msgspec.to_builtins(value)


def produce_gossip() -> str:
    """Reports of one member over three beats, with those of others passed on, and how a report is read."""
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
    heard: list = []
    gossip.on_lease = lambda now, done: heard.append([now, plain(done)])
    gossip.on_quota = lambda now, origin, parted: heard.append([now, origin, plain(parted)])
    for number, outcome in enumerate(Outcome):
        gossip.record_outcome(START + number, "records", "s-1", outcome)
    gossip.record_outcome(START, "records", "s-2", Outcome.SUCCEEDED)
    gossip.record_outcome(START, "archive", "a-1", Outcome.RESET)
    sent = []
    for beat in range(3):
        now = START + beat * BEAT
        if beat == 1:
            gossip.receive(now, msgspec.msgpack.encode(FROM_OTHERS))
            gossip.receive(now, b"unreadable")
        gossip.tick(now, MEMBERS)
        sent.append([[name, data.hex()] for name, data in gossip.outbox])
        gossip.outbox = []
    held = {
        name: [origin.created_at, plain(origin.report)]
        for name, origin in sorted(gossip.report_table.fresh(START + 2 * BEAT).items())
    }
    return as_json({"sent": sent, "heard": heard, "held": held, "unread": gossip.undecodable})


def test_reports_are_encoded_and_passed_on_as_before() -> None:
    assert produce_gossip() == read_golden(GOSSIP_GOLDEN)


def test_a_payload_of_the_version_before_is_read() -> None:
    """The newest payload of the golden file, as another member gets it."""
    payload = json.loads(read_golden(GOSSIP_GOLDEN))["sent"][1][0][1]
    reader, leases, parts = HealthGossip("b5", 1, Random(1)), [], []
    reader.on_lease = lambda now, done: leases.append(plain(done))
    reader.on_quota = lambda now, origin, parted: parts.append([now, origin, plain(parted)])
    reader.receive(START + SECOND, bytes.fromhex(payload))
    held = reader.report_table.fresh(START + SECOND)
    assert plain(held["b1"].report.counts) == [["records", "s-1", 5, 4], ["archive", "a-1", 1, 1]]
    rows = [["records", "s-1", 5, 4], ["records", "s-9", 2, 2]]
    assert plain(held["b2"].report) == ["b2", 9, 4, 250, 1, rows, [], []]
    assert leases == [
        ["probe records s-2", 3 << 16 | 12, "b1", 9, 120, 5],
        ["probe records s-3", 9, "b1", 0, 0, 0],
        ["probe records s-1", 5 << 16 | 77, "b3", 6, 40, 1],
    ]
    assert parts == [
        [START + SECOND, "b1", ["submits", 0.333333, 0.4]],
        [START + SECOND, "b3", ["submits", 0.25, 0.5]],
        [START + SECOND, "b3", ["rest", 0.125, 0.0]],
    ]


def test_fields_that_an_older_report_lacks_take_their_defaults() -> None:
    reader = HealthGossip("b5", 1, Random(1))
    reader.receive(START, msgspec.msgpack.encode([["b2", 9, 4, 0, 0, [["records", "s-1", 5, 4]]]]))
    assert plain(reader.report_table.fresh(START)["b2"].report)[6:] == [[], []]


def test_the_numbers_of_outcomes_stay() -> None:
    """A lease's result is one of them: how the health check ended."""
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


def test_the_name_of_a_health_checks_lease_stays() -> None:
    assert health_check_task("records-next", SimpleNamespace(name="s-1")) == "probe records-next s-1"


def produce_leases() -> str:
    """Three members do four tasks; one stops, another joins. Who works when, under which number."""
    zones = {f"probe records s-{number}": "ab"[number % 2] for number in range(4)}
    members = [Candidate("b1", "a"), Candidate("b2", "b"), Candidate("b3", "b")]
    instances = {name: LeaseElection(name, 4 * SECOND) for name, _ in members}
    wire: list[LeaseAnnouncement] = []
    worked, told_last = [], {}
    for beat in range(60):
        now = START + beat * BEAT
        if beat == 25:  # b2 stops without a word; the others know after three seconds
            del instances["b2"]
        if beat == 31:
            members.remove(Candidate("b2", "b"))
        if beat == 44:
            instances["b4"] = LeaseElection("b4", 4 * SECOND)
            members.append(Candidate("b4", "b"))
        told, wire = wire, []
        for name, instance in instances.items():
            instance.update_members(now, members, True)
            instance.update_tasks(now, zones)
            for done in told:
                instance.apply_announcement(now, done)
            for due in instance.tick(now):
                worked.append([beat, name, due.task, due.fencing_token, instance.complete(now, due, 1)])
            wire += instance.announcements(now)
            told_last[name] = [plain(done) for done in instance.announcements(now)]
    names = [f"b{number}" for number in range(8)]
    orders = {
        f"{task}, zone {zone!r}": rank_candidates(
            task, [Candidate(name, "ab"[n % 2]) for n, name in enumerate(names)], zone
        )
        for task in (*zones, "probe archive bälter")
        for zone in ("", "a")
    }
    return as_json({"worked": worked, "told_at_the_end": told_last, "orders": orders})


def test_leases_change_hands_under_the_same_numbers_as_before() -> None:
    assert produce_leases() == read_golden(LEASES_GOLDEN)


def test_the_golden_leases_change_hands() -> None:
    worked = json.loads(read_golden(LEASES_GOLDEN))["worked"]
    holders = {task: {name for _, name, each, *_ in worked if each == task} for _, _, task, *_ in worked}
    assert len(holders) == 4
    assert {"b1", "b2", "b3", "b4"} == set.union(*holders.values())
    assert any(len(names) > 1 for names in holders.values())


if __name__ == "__main__":
    write_golden(GOSSIP_GOLDEN, produce_gossip())
    write_golden(LEASES_GOLDEN, produce_leases())
