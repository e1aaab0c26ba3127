"""The requests that may have run: bounded, remembered for a time, shared by the processes of an upgrade."""

import pytest

from dahliabend.proxy import executed_requests
from dahliabend.proxy.executed_requests import RETENTION, TABLE_BYTES, ExecutedRequests
from dahliabend.transport.runtime_directory import RuntimeDirectory


@pytest.fixture
def time(monkeypatch):
    now = [1_000_000]
    monkeypatch.setattr(executed_requests, "clock", lambda: now[0])
    return now


def test_an_id_is_refused_until_the_retention_is_over_and_free_again_after_it(time):
    executed = ExecutedRequests()
    assert executed.try_add(b"a")
    time[0] += RETENTION - 1
    assert not executed.try_add(b"a")
    time[0] += RETENTION + 2
    assert executed.try_add(b"a")


def test_a_request_that_cannot_have_run_may_come_again(time):
    executed = ExecutedRequests()
    assert executed.try_add(b"a")
    executed.discard(b"a")
    assert executed.try_add(b"a")


def test_ever_new_ids_take_no_more_memory_and_the_newest_are_remembered(time):
    executed = ExecutedRequests()
    for number in range(20_000):
        executed.try_add(b"%d" % number)
    assert len(executed.table.slots) * 8 == TABLE_BYTES
    assert not any(executed.try_add(b"%d" % number) for number in range(19_500, 20_000))


# Guards against issue 60 (c): an id ran twice at the other process of an upgrade.
def test_an_id_of_another_process_is_refused_while_it_lives_and_for_the_retention_after_its_end(
    time, tmp_path
):
    directory = RuntimeDirectory(str(tmp_path))
    first, second = ExecutedRequests(), ExecutedRequests()
    first.share(directory.create_shared("executed-1", TABLE_BYTES))
    second.share(directory.create_shared("executed-2", TABLE_BYTES))
    first.add_foreign("2", directory.open_shared("executed-2", TABLE_BYTES), is_alive=True)
    second.add_foreign("1", directory.open_shared("executed-1", TABLE_BYTES), is_alive=True)
    assert first.try_add(b"a")
    assert not second.try_add(b"a")
    assert second.try_add(b"b")
    assert not first.try_add(b"b")
    directory.remove("executed-1")
    second.update_foreign(set(), time[0])
    assert not second.try_add(b"a")
    time[0] += RETENTION
    second.update_foreign(set(), time[0])
    assert second.foreign == {}
