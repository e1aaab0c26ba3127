"""The body of a request between a client that sends it and an upstream that may read more slowly."""

from types import SimpleNamespace

import pytest
from helpers import MS

from dahliabend.http import streaming
from dahliabend.http.headers import MAX_BUFFERED_BYTES
from dahliabend.http.streaming import BACKLOG_TRANSFER_TIME, MAX_BYTES_IN_KERNELS, StreamingBody

START = 1_000_000  # microseconds
LENGTH = 1_000_000  # bytes


class Source:
    """The client's connection."""

    def __init__(self):
        self.reading_suspended = False
        self.unread = None

    def suspend_reading(self):
        self.reading_suspended = True

    def resume_reading(self):
        self.reading_suspended = False

    def unread_input(self):
        return self.unread


class Sink:
    """The upstream's connection, which sends nothing on until `unsent_bytes` is set to 0."""

    def __init__(self):
        self.unsent_bytes = 0

    def write(self, *pieces):
        self.unsent_bytes += sum(map(len, pieces))

    def has_full_output(self):
        return self.unsent_bytes > MAX_BUFFERED_BYTES

    def finish_upload(self, terminator):
        self.write(terminator)


@pytest.fixture
def time(monkeypatch):
    now = SimpleNamespace(us=START)
    monkeypatch.setattr(streaming, "clock", lambda: now.us)
    return now


def suspended_body(time, length=LENGTH):
    """Return a body whose upstream has not read what was written, its client and its upstream."""
    source, sink = Source(), Sink()
    body = StreamingBody(source, length, [])
    body.attach(sink)
    assert body.possibly_sent_since is None
    time.us += 500 * MS
    body.feed(b"x" * (MAX_BUFFERED_BYTES + 1))
    assert source.reading_suspended
    return body, source, sink


def test_the_client_may_have_sent_all_since_reading_was_suspended(time):
    body, _, sink = suspended_body(time)
    suspended_at = time.us
    for _ in range(3):  # a slow upstream: the client's connection is read in short intervals
        time.us += 300 * MS
        sink.unsent_bytes = 0
        body.sink_flushed()
        body.feed(b"x" * (MAX_BUFFERED_BYTES + 1))
        body.input_consumed()
    assert body.possibly_sent_since == suspended_at
    body.mark_complete()
    assert body.possibly_sent_since == suspended_at


def test_a_client_that_is_read_for_a_while_and_has_sent_nothing_more_is_still_sending(time):
    body, source, sink = suspended_body(time)
    sink.unsent_bytes = 0
    body.sink_flushed()
    time.us += BACKLOG_TRANSFER_TIME - 1
    body.input_consumed()
    assert body.possibly_sent_since is not None  # what waited may still be on its way
    time.us += 1
    source.unread = True
    body.note_silence()
    assert body.possibly_sent_since is not None
    source.unread = None
    body.note_silence()
    assert body.possibly_sent_since is None
    time.us += 700 * MS
    body.mark_complete()
    assert body.possibly_sent_since == time.us


def test_a_client_of_whose_body_more_is_missing_than_the_kernels_hold_is_still_sending(time):
    body, _, sink = suspended_body(time, length=3 * MAX_BYTES_IN_KERNELS)
    time.us += 300 * MS
    sink.unsent_bytes = 0
    body.sink_flushed()
    body.feed(b"x" * MAX_BYTES_IN_KERNELS)
    assert body.possibly_sent_since == time.us


@pytest.mark.parametrize("pause", [BACKLOG_TRANSFER_TIME // 4, BACKLOG_TRANSFER_TIME])
def test_a_short_wait_for_the_upstream_leaves_a_slow_client_its_time(time, pause):
    body = StreamingBody(Source(), LENGTH, [])
    body.feed(b"x")
    time.us += pause
    body.attach(Sink())
    time.us += 10 * MS
    body.input_consumed()
    assert (body.possibly_sent_since is None) == (pause < BACKLOG_TRANSFER_TIME)


# Guards against a connection that is never read again: reading stayed suspended if it was so at a body's end.
@pytest.mark.parametrize("has_sink", [True, False])
def test_reading_is_resumed_at_the_end_of_a_body(time, has_sink):
    body, source, _ = suspended_body(time)
    if not has_sink:
        body.detach()
    body.mark_complete()
    assert not source.reading_suspended
