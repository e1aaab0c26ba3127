"""The table of the latest reports: the order of datagrams does not matter, and reports expire."""

import pytest
from fake_reports import SECOND, health_report
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.health_gossip.gossip import REPORT_WINDOW
from dahliabend.health_gossip.report_table import ReportTable

MICROSECONDS_PER_MS = 1_000

reports = st.lists(
    st.builds(
        health_report,
        st.sampled_from("abc"),
        st.integers(0, 4),
        st.tuples(st.sampled_from(("u1", "u2")), st.integers(1, 9), st.integers(0, 1)),
        generation=st.integers(1, 2),
        age_ms=st.integers(0, 400),
    ),
    max_size=12,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(reports, st.randoms(use_true_random=False))
def test_merge_does_not_depend_on_order_or_repetition(generated_reports, random):
    reports_by_number = {}  # an origin never sends two different reports with the same number
    for report in generated_reports:
        reports_by_number.setdefault((report.origin, report.generation, report.sequence), report)
    sent = list(reports_by_number.values())
    shuffled = sent + random.sample(sent, len(sent) // 2)
    random.shuffle(shuffled)
    in_order, out_of_order = ReportTable("me", REPORT_WINDOW), ReportTable("me", REPORT_WINDOW)
    for report in sent:
        in_order.merge(SECOND, report)
    for report in shuffled:
        out_of_order.merge(SECOND, report)
    assert {name: entry.report for name, entry in in_order.origins.items()} == {
        name: entry.report for name, entry in out_of_order.origins.items()
    }


def test_expired_reports_and_those_of_an_earlier_generation_are_not_stored():
    table = ReportTable("me", REPORT_WINDOW)
    assert table.merge(SECOND, health_report("a", 5, ("u1", 1, 1), generation=2))
    assert not table.merge(SECOND, health_report("a", 9, ("u1", 1, 1), generation=1))
    assert not table.merge(
        SECOND, health_report("b", 1, ("u1", 1, 1), age_ms=REPORT_WINDOW // MICROSECONDS_PER_MS)
    )
    assert set(table.fresh(SECOND + REPORT_WINDOW - 1)) == {"a"}
    assert table.fresh(SECOND + REPORT_WINDOW) == {}


def test_reports_of_an_origin_with_a_clock_set_back_count_again_once_earlier_ones_have_expired():
    table = ReportTable("me", REPORT_WINDOW)
    assert table.merge(SECOND, health_report("a", 5, ("u1", 1, 1), generation=2))
    assert table.fresh(SECOND + REPORT_WINDOW) == {}
    assert table.merge(9 * SECOND, health_report("a", 1, ("u1", 1, 1), generation=1))


def test_only_reports_of_members_count():
    table = ReportTable("me", REPORT_WINDOW)
    table.merge(SECOND, health_report("a", 1, ("u1", 1, 1)))
    assert set(table.fresh(SECOND, {"a"})) == {"a"}
    assert table.fresh(SECOND, {"b"}) == {}


@pytest.mark.parametrize(
    "counts", [("u1", 0, 0), ("u1", 1, 2), ("u1", 1, -1), ("u1", 10**9, 1), ("u" * 65, 1, 1)]
)
def test_reports_with_impossible_counts_are_rejected(counts):
    table = ReportTable("me", REPORT_WINDOW)
    assert not table.merge(SECOND, health_report("a", 1, counts))
    assert table.rejected == 1
