"""Shared health checks: the next result answers a request; no single member keeps an upstream out of use."""

import pytest

from dahliabend.leases.candidate_order import Candidate
from dahliabend.leases.lease import LeaseAnnouncement
from dahliabend.leases.leased_health_checks import LeasedHealthChecks, ResultCallback
from dahliabend.model import Outcome

SECOND = 1_000_000
PERIOD = 4 * SECOND
MEMBERS = [Candidate(name, zone="") for name in ("b0", "b1", "me")]


class Instance:
    """Shared checks of one instance; records the checks that it starts and the outcomes that it delivers."""

    def __init__(self) -> None:
        self.started: list[tuple[str, ResultCallback]] = []
        self.answers: list[Outcome] = []
        self.checks = LeasedHealthChecks("me", PERIOD, self.start_check, lambda *_, **__: None)
        self.checks.tick(SECOND, MEMBERS, settled=True, task_zones={"d": ""})

    def start_check(self, task: str, on_result: ResultCallback) -> None:
        self.started.append((task, on_result))

    def request(self, now: int, task: str = "d") -> bool:
        return self.checks.request_check(now, task, lambda _, outcome: self.answers.append(outcome))

    def announce(self, now: int, completed_runs: int, outcome: Outcome, age_ms: int = 0) -> None:
        """Receive a result of another member."""
        announcement = LeaseAnnouncement("d", 50, "b1", completed_runs, age_ms, int(outcome))
        self.checks.apply_announcement(now, announcement)
        self.checks.deliver_results(now)


@pytest.fixture
def instance() -> Instance:
    return Instance()


def test_request_is_answered_by_a_later_run_and_not_by_an_earlier_one(instance):
    instance.announce(2 * SECOND, 1, Outcome.SUCCEEDED)
    assert instance.request(3 * SECOND)
    instance.checks.deliver_results(3 * SECOND)
    assert instance.answers == []
    instance.announce(5 * SECOND, 2, Outcome.SUCCEEDED, age_ms=1_000)
    assert instance.answers == [Outcome.SUCCEEDED]
    assert not instance.checks.pending


def test_check_is_not_shared_if_there_is_no_other_member_or_the_task_is_unknown(instance):
    assert not instance.request(SECOND, "other")
    instance.checks.tick(2 * SECOND, [Candidate("me", zone="")], settled=True, task_zones={"d": ""})
    assert not instance.request(2 * SECOND)


def test_instance_runs_the_check_itself_after_two_periods_without_a_result(instance):
    instance.checks.election.view_settled = False
    instance.request(SECOND)
    instance.checks.deliver_results(SECOND + 2 * PERIOD)
    assert instance.started == []
    instance.checks.deliver_results(SECOND + 2 * PERIOD + 1)
    assert [task for task, _ in instance.started] == ["d"]
    assert not instance.checks.pending


def test_second_failure_in_a_row_from_one_member_is_checked_by_this_instance(instance):
    """Otherwise a member with a fault of its own would keep a working upstream out of use."""
    for completed_runs in (1, 2, 3):
        instance.request(completed_runs * PERIOD)
        instance.announce(completed_runs * PERIOD + SECOND, completed_runs, Outcome.TIMED_OUT)
    assert instance.answers == [Outcome.TIMED_OUT, Outcome.TIMED_OUT]
    assert len(instance.started) == 1
    _, on_result = instance.started[0]
    on_result(3 * PERIOD, Outcome.SUCCEEDED)
    assert instance.answers[-1] is Outcome.SUCCEEDED


def test_results_that_no_check_can_have_are_rejected(instance):
    for result in (Outcome.CANCELLED, Outcome.NOT_SENT, 0, 99):
        announcement = LeaseAnnouncement("d", 50, "b1", 1, 0, int(result))
        instance.checks.apply_announcement(2 * SECOND, announcement)
    assert instance.checks.election.rejected == 4
    assert instance.checks.election.leases["d"].holder != "b1"


def test_tasks_removed_from_the_endpoint_list_leave_no_state(instance):
    instance.request(SECOND)
    instance.checks.tick(2 * SECOND, MEMBERS, settled=True, task_zones={})
    assert not instance.checks.pending
    assert not instance.checks.election.leases
    assert not instance.checks.last_tokens
    assert not instance.checks.last_failure_reporter
