"""Leases: one member runs a task about once per period; others take over; no two run it with one token."""

import pytest
from lease_cluster import PERIOD, SECOND, TASKS, TICK, LeaseCluster

from dahliabend.leases.candidate_order import Candidate, rank_candidates
from dahliabend.leases.election import LeaseElection
from dahliabend.leases.fencing import TOKEN_SUFFIX_BITS
from dahliabend.leases.lease import LeaseAnnouncement


def test_without_faults_the_first_candidate_runs_each_task_once_per_period():
    cluster = LeaseCluster(4).run(60 * SECOND)
    cluster.assert_tasks_are_done(20 * SECOND)
    for task in TASKS:
        first = rank_candidates(task, [Candidate(name, zone="") for name in cluster.names])[0]
        assert cluster.workers(task, 20 * SECOND + 1) == {first}
        assert 8 <= len(cluster.run_times(task, 20 * SECOND)) <= 11


@pytest.mark.parametrize("seed", range(4))
def test_with_one_instance_killed_every_minute_no_task_misses_its_runs(seed):
    cluster = LeaseCluster(4, seed).run(20 * SECOND)
    start = cluster.now
    for round_number in range(10):
        killed = cluster.names[round_number % 4]
        del cluster.instances[killed]
        cluster.run(8 * SECOND)  # membership notices the death late
        for name in cluster.instances:
            cluster.views[name] = [other for other in cluster.names if other != killed]
        cluster.run(22 * SECOND)
        cluster.instances[killed] = cluster.start(killed)
        for name in cluster.instances:
            cluster.views[name] = list(cluster.names)
        cluster.run(30 * SECOND)
    cluster.assert_tasks_are_done(start)


def test_holder_that_resumes_after_a_pause_runs_no_task_before_the_quiet_period_ends():
    cluster = LeaseCluster(4).run(20 * SECOND)
    start = cluster.now
    cluster.paused = {"b1"}
    cluster.run(21 * SECOND)
    own_tasks = [task for task, lease in cluster.instances["b1"].leases.items() if lease.holder == "b1"]
    assert own_tasks
    resumed = cluster.now
    cluster.paused = set()
    cluster.run(PERIOD)
    own_runs = [run.at for run in cluster.runs if run.instance == "b1" and run.at > resumed]
    assert min(own_runs, default=cluster.now) - resumed >= PERIOD // 4
    cluster.run(20 * SECOND)
    cluster.assert_tasks_are_done(start)


def test_task_is_taken_over_when_its_holder_and_the_next_candidate_die_within_one_period():
    cluster = LeaseCluster(5).run(20 * SECOND)
    start = cluster.now
    task = "probe u3"
    for name in rank_candidates(task, [Candidate(name, zone="") for name in cluster.names])[:2]:
        del cluster.instances[name]
    cluster.run(20 * SECOND)
    cluster.assert_tasks_are_done(start)
    assert len(cluster.run_times(task, start)) >= 2


def test_both_sides_of_a_partition_run_the_tasks_and_one_holder_remains_once_it_heals():
    cluster = LeaseCluster(4).run(20 * SECOND)
    sides = cluster.names[:2], cluster.names[2:]
    cluster.blocked_links = {link for a in sides[0] for b in sides[1] for link in ((a, b), (b, a))}
    cluster.run(10 * SECOND)
    for side in sides:
        for name in side:
            cluster.views[name] = list(side)
    start = cluster.now
    cluster.run(20 * SECOND)
    for side in sides:
        for task in TASKS:
            times = [
                run.at
                for run in cluster.runs
                if run.task == task and run.instance in side and run.at >= start
            ]
            assert len(times) >= 4
    cluster.blocked_links = set()
    cluster.views = {name: list(cluster.names) for name in cluster.names}
    cluster.run(12 * SECOND)
    healed = cluster.now
    cluster.run(30 * SECOND)
    for task in TASKS:
        assert len(cluster.workers(task, healed)) == 1


def test_tasks_are_run_with_30_percent_of_messages_lost():
    cluster = LeaseCluster(4)
    cluster.loss = 0.3
    cluster.run(20 * SECOND)
    start = cluster.now
    cluster.run(60 * SECOND)
    cluster.assert_tasks_are_done(start)


def test_tasks_are_run_with_one_direction_between_two_instances_blocked():
    cluster = LeaseCluster(4).run(20 * SECOND)
    start = cluster.now
    cluster.blocked_links = {("b0", "b1")}
    cluster.run(40 * SECOND)
    for task in TASKS:
        assert all(gap <= 2 * PERIOD for gap in cluster.gaps(task, start))


def test_outdated_invalid_and_unknown_announcements_are_ignored():
    election = LeaseElection("me", PERIOD)
    election.update_tasks(SECOND, {"d": ""})
    assert election.apply_announcement(2 * SECOND, LeaseAnnouncement("d", 3, "b", 2, 0))
    for outdated in (
        LeaseAnnouncement("d", 3, "b", 2, 0),
        LeaseAnnouncement("d", 3, "a", 9, 0),
        LeaseAnnouncement("d", 2, "z", 9, 0),
        LeaseAnnouncement("d", 9, "me", 1, 0),
    ):
        assert not election.apply_announcement(2 * SECOND, outdated)
    assert not election.apply_announcement(2 * SECOND, LeaseAnnouncement("d", -1, "b", 2, 0))
    assert election.rejected == 1
    assert not election.apply_announcement(2 * SECOND, LeaseAnnouncement("other", 1, "b", 1, 0))
    assert set(election.leases) == {"d"}


def test_the_time_of_the_last_run_does_not_go_back():
    election = LeaseElection("me", PERIOD)
    election.update_tasks(SECOND, {"d": ""})
    assert election.apply_announcement(2 * SECOND, LeaseAnnouncement("d", 3, "b", 2, 0))
    assert election.apply_announcement(2 * SECOND, LeaseAnnouncement("d", 3, "c", 1, 10**9))
    assert election.leases["d"].last_run_at == 2 * SECOND


def test_candidates_of_the_tasks_zone_come_first():
    members = [Candidate(f"b{n}", "ab"[n % 2]) for n in range(8)]
    assert all(dict(members)[rank_candidates(f"d{n}", members, "b")[0]] == "b" for n in range(20))


def test_claims_of_candidates_that_are_all_overdue_settle_on_one_holder():
    """Guards against two candidates that override each other's claims alternately and never run the task."""
    cluster = LeaseCluster(4).run(20 * SECOND)
    cluster.delay = TICK
    cluster.views = {name: [] for name in cluster.names}  # with empty views all instances stop running tasks
    cluster.run(30 * SECOND)
    start = cluster.now
    cluster.views = {name: list(cluster.names) for name in cluster.names}
    cluster.run(30 * SECOND)
    for task in TASKS:
        first, *later = cluster.gaps(task, start)
        assert first <= PERIOD
        assert max(later) <= 2 * PERIOD
    tokens = [lease.fencing_token for lease in cluster.instances["b0"].leases.values()]
    assert max(token >> TOKEN_SUFFIX_BITS for token in tokens) < 20
