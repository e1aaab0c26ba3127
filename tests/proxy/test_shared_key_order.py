"""The order of requests with the same key over several processes of one balancer."""

from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest
from fake_port import DEDUPLICATED, MS, S, make_balancer

from dahliabend.model import Outcome, TimerToken
from dahliabend.policy.key_order import QUEUE_CHECK_INTERVAL, KeyState
from dahliabend.proxy.executed_requests import digest_of
from dahliabend.proxy.shared_key_order import SLOTS, TABLE_BYTES, SharedKeyOrder

NOW = 100 * S
PAUSE = 100 * MS
TIME_LEFT = 5 * S
KEY = b"hive-17"


class Lock:
    """The lock between the processes, which a process may be just holding."""

    is_free = True

    def try_acquire(self):
        return self.is_free

    def release(self): ...


class Process:
    """The policy of one process, its port and its part in the common order."""

    def __init__(self, name, lock):
        self.name = name
        ordered = replace(DEDUPLICATED, is_ordered=True)
        self.balancer, self.port = make_balancer(request_classes=(ordered,), key_pause=PAUSE, max_attempts=1)
        self.block = memoryview(bytearray(TABLE_BYTES))
        self.order = SharedKeyOrder(self.block, lock)

    def admit(self, request_id, now=NOW, key=KEY, **more):
        return self.balancer.admit(now, request_id, 0, 0, now + TIME_LEFT, key=key, **more)

    def see(self, other):
        self.order.add_foreign(other.name, other.block, is_alive=True)
        self.balancer.key_queues.share(self.order)

    def look_again(self, now):
        self.balancer.timer_fired(now, TimerToken.KEY_PAUSE)

    @property
    def sent(self):
        return [call[1] for call in self.port.calls_to("send")]


@pytest.fixture
def lock():
    return Lock()


@pytest.fixture
def processes(lock):
    old, new = Process("1-10", lock), Process("2-11", lock)
    old.see(new)
    new.see(old)
    return old, new


def finish(request, now=NOW, outcome=Outcome.SUCCEEDED):
    request.attempt_finished(now, 0, outcome, MS, True)


def test_a_request_waits_for_one_of_its_key_in_the_other_process(processes):
    old, new = processes
    first = old.admit(1)
    new.admit(2, NOW + 1)
    new.admit(3, NOW + 2, key=b"other")
    assert (old.sent, new.sent) == ([1], [3])
    new.look_again(NOW + QUEUE_CHECK_INTERVAL + 1)
    assert new.sent == [3]
    finish(first)
    new.look_again(NOW + 2 * QUEUE_CHECK_INTERVAL + 1)
    assert new.sent == [3, 2]


def test_requests_begin_in_the_order_of_their_admission_over_both_processes(processes):
    old, new = processes
    first = old.admit(1)
    second = new.admit(2, NOW + 1)
    old.admit(3, NOW + 2)
    finish(first, NOW + 3)
    assert old.sent == [1]  # the one in the other process was admitted earlier
    new.look_again(NOW + QUEUE_CHECK_INTERVAL + 1)
    assert new.sent == [2]
    finish(second, NOW + 2 * QUEUE_CHECK_INTERVAL)
    old.look_again(NOW + 2 * QUEUE_CHECK_INTERVAL + 3)
    assert old.sent == [1, 3]


@pytest.mark.parametrize("outcome", [Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_key_rests_in_both_processes(processes, outcome):
    old, new = processes
    first = old.admit(1)
    new.admit(2, NOW + 1)
    ended_at = NOW + 10 * MS
    finish(first, ended_at, outcome)
    new.look_again(ended_at + PAUSE - 1)
    assert new.sent == []
    old.look_again(ended_at + PAUSE)
    new.look_again(ended_at + PAUSE + QUEUE_CHECK_INTERVAL)
    assert new.sent == [2]


def test_queues_of_a_process_that_was_alone_count_as_soon_as_there_is_another(lock):
    old, new = Process("1-10", lock), Process("2-11", lock)
    first, waiting = old.admit(1), old.admit(2, NOW + 1)
    old.see(new)
    new.see(old)
    new.admit(3, NOW + 2)
    finish(first, NOW + 3)
    assert old.sent == [1, 2]
    finish(waiting, NOW + 4)
    new.look_again(NOW + QUEUE_CHECK_INTERVAL + 2)
    assert new.sent == [3]


def test_what_a_killed_process_had_out_counts_until_its_deadline_and_what_waited_there_does_not(processes):
    old, new = processes
    old.admit(1)
    old.admit(2, NOW + 1)
    new.admit(3, NOW + 2)
    new.order.update_foreign(set(), NOW + 3)
    new.look_again(NOW + QUEUE_CHECK_INTERVAL + 2)
    assert new.sent == []
    end = NOW + TIME_LEFT + PAUSE
    new.order.update_foreign(set(), end - 1)
    assert new.order.foreign
    new.order.update_foreign(set(), end)
    assert not new.order.foreign
    late = new.admit(4, end)
    new.look_again(end)
    assert new.sent == [4]  # the one that waited was answered when its time was over
    assert not late.is_answered


def test_a_body_of_a_killed_process_that_was_not_complete_blocks_nothing(processes):
    old, new = processes
    uploading = old.admit(1, body_pending=True)
    new.admit(2, NOW + 1)
    assert new.sent == []
    new.order.update_foreign(set(), NOW + 2)
    new.look_again(NOW + QUEUE_CHECK_INTERVAL + 1)
    assert new.sent == [2]
    uploading.body_received(NOW + 3, NOW + TIME_LEFT)
    assert old.order.fields[digest_of(KEY) % SLOTS * 2] == NOW + TIME_LEFT + PAUSE


def test_a_request_whose_body_is_still_coming_is_rejected_and_does_not_wait(processes):
    old, new = processes
    old.admit(1)
    request = new.admit(2, NOW + 1, body_pending=True)
    assert request.is_answered
    assert new.port.calls_to("reject")


def test_a_request_that_leaves_while_it_waits_makes_way_for_the_other_process(processes):
    old, new = processes
    first = old.admit(1)
    leaving = new.admit(2, NOW + 1)
    old.admit(3, NOW + 2)
    leaving.client_disconnected(NOW + 3)
    finish(first, NOW + 4)
    assert old.sent == [1, 3]
    new.look_again(NOW + QUEUE_CHECK_INTERVAL + 1)
    assert not new.balancer.key_queues.queues


def test_while_another_process_takes_a_turn_a_request_looks_again(processes, lock):
    _, new = processes
    lock.is_free = False
    new.admit(1)
    assert new.sent == []
    lock.is_free = True
    new.look_again(NOW + QUEUE_CHECK_INTERVAL)
    assert new.sent == [1]


def test_without_another_process_nothing_is_published(lock):
    alone = Process("1-10", lock)
    finish(alone.admit(1))
    assert alone.balancer.key_queues.processes is None
    assert not any(alone.block)


def test_keys_of_one_slot_count_together_and_a_table_is_empty_once_none_is_in_use(processes):
    order = processes[0].order
    slot = digest_of(KEY) % SLOTS
    same_slot = next(key for n in range(10**6) if digest_of(key := b"%d" % n) % SLOTS == slot)
    order.publish(KEY, KeyState(NOW, 0))
    order.publish(same_slot, KeyState(0, NOW + 5))
    assert list(order.fields[2 * slot : 2 * slot + 2]) == [NOW, NOW + 5]
    order.publish(KEY, KeyState(0, 0))
    assert list(order.fields[2 * slot : 2 * slot + 2]) == [0, NOW + 5]
    order.withdraw_all()
    assert not any(order.fields.cast("B"))


@pytest.mark.parametrize("seed", range(20))
def test_by_chance_two_processes_never_have_two_of_a_key_out_and_all_requests_end(processes, seed):
    rng, now, running, admitted, request_id = Random(seed), NOW, [], [], 0
    for _ in range(400):
        now += rng.randint(1, 3 * MS)
        action = rng.random()
        if action < 0.3:
            request_id += 1
            process = rng.choice(processes)
            process_request = (process, process.admit(request_id, now), request_id)
            admitted.append(process_request)
        running = [each for each in admitted if each[1].in_flight]
        assert len(running) <= 1
        if running and action > 0.6:
            finish(running[0][1], now, rng.choice((Outcome.SUCCEEDED, Outcome.FAILED, Outcome.RESET)))
        for process in processes:
            process.look_again(now)
    for _ in range(1000):
        now += PAUSE
        for request in [each[1] for each in admitted if each[1].in_flight]:
            finish(request, now)
        for process in processes:
            process.look_again(now)
    sent = sorted(each[2] for each in admitted if each[1].attempts)
    began = [(each[1].attempts[0].sent_at, each[2]) for each in admitted if each[1].attempts]
    assert sent
    assert all(earlier[1] < later[1] for earlier, later in pairwise(sorted(began)))
    assert all(each[1].is_finished for each in admitted)
