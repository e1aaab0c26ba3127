"""The subset filter: the policy gets only the subset, and drains immediately; faults in the settings."""

import pytest
from fake_router import FakeRouter, FakeTimers

from dahliabend.config.operator_file.schema import SubsetSettings
from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.model import EndpointState
from dahliabend.routing_rules.loaded_file import load_file
from dahliabend.server.subset_filter import SubsetFilter

NAMES = {f"u{n}" for n in range(30)}


def endpoint_entries(numbers, state=EndpointState.READY):
    return [EndpointListEntry(f"u{n}", ("127.0.0.1", 1 + n), state, 0, 1.0, 0, "a") for n in numbers]


def filter_and_router(**settings):
    """A filter for one of twenty balancers without membership, and the router that it feeds."""
    router = FakeRouter()
    subset_filter = SubsetFilter(
        router, SubsetSettings(**settings), 20, None, "me", FakeTimers(), lambda *_, **__: None
    )
    return subset_filter, router


@pytest.fixture
def listed():
    """A filter with a list of thirty upstreams, and its router."""
    subset_filter, router = filter_and_router(least=6, degree=4)
    subset_filter.endpoints_changed(endpoint_entries(range(30)), full=True)
    return subset_filter, router


def test_policy_gets_only_the_subset_and_operators_see_the_rest(listed):
    subset_filter, router = listed
    assert set(router.lists[-1]) == set(subset_filter.subset.weights)
    assert 6 <= len(router.lists[-1]) <= 9
    assert set(router.table.listed_ids) == NAMES
    assert subset_filter.status()["by"] == "name"
    assert subset_filter.status()["of"] == 30


def test_policy_gets_the_number_of_balancers_that_share_an_upstream(listed):
    _, router = listed
    assert router.balancer.selection.instance_count == pytest.approx(len(router.lists[-1]) * 20 / 30)


def test_balancers_with_configured_indices_compute_one_assignment_without_membership():
    load, sizes = dict.fromkeys((f"u{n}" for n in range(30)), 0.0), set()
    for index in range(20):
        subset_filter, _ = filter_and_router(least=6, degree=4, self_index=index)
        subset_filter.endpoints_changed(endpoint_entries(range(30)), full=True)
        assert subset_filter.status()["by"] == "index"
        assert subset_filter.status()["balancers"] == 20
        sizes.add(subset_filter.status()["size"])
        for name, weight in subset_filter.subset.weights.items():
            load[name] += weight / subset_filter.status()["size"]
    assert max(load.values()) <= 1.02 * sum(load.values()) / 30
    assert max(sizes) <= 9


def test_drain_is_passed_on_immediately_and_only_for_upstreams_in_use(listed):
    subset_filter, router = listed
    used = min(subset_filter.subset.weights)
    unused = min(NAMES - subset_filter.subset.weights.keys())
    draining = endpoint_entries([int(used[1:]), int(unused[1:])], EndpointState.DRAINING)
    subset_filter.endpoints_changed(draining, full=False)
    assert router.lists[-1][used][2] is EndpointState.DRAINING
    assert unused not in router.lists[-1]
    subset_filter.endpoints_changed(endpoint_entries([int(used[1:])], EndpointState.REMOVED), full=False)
    assert used not in router.lists[-1]
    assert len(router.lists[-1]) >= 6


def test_upstream_that_an_operator_has_excluded_stays_in_the_subset(listed):
    subset_filter, router = listed
    name = min(subset_filter.subset.weights)
    router.excluded.add(name)
    subset_filter.endpoints_changed(
        endpoint_entries(range(100, 130)) + endpoint_entries([int(name[1:])]), full=True
    )
    assert name in router.lists[-1]


def test_failed_poll_of_the_list_is_passed_on():
    subset_filter, router = filter_and_router()
    subset_filter.endpoint_poll_failed()
    assert router.failed_polls == 1


@pytest.mark.parametrize(
    ("text", "expected_fault"),
    [
        ("least = 0", "pools.p.subset.least: 0 is not above 0"),
        ("degree = -1", "pools.p.subset.degree: -1 is not above 0"),
        ('hold = "0s"', "pools.p.subset.hold: 0s is not above 0"),
        ("hold = 5", "pools.p.subset.hold: 5 has no unit"),
        ("size = 5", "pools.p.subset.size: is no key here"),
        ("self-index = 1", "pools.p.subset.self-index: 1 is not between 0 and 0: see balancers"),
    ],
)
def test_fault_in_the_settings_is_reported_with_its_line(tmp_path, text, expected_fault):
    path = tmp_path / "file.toml"
    path.write_text(f"""[listeners.callers]
address = "127.0.0.1:8080"
[pools.p]
members = [{{ id = "u", address = "127.0.0.1:9" }}]
[pools.p.subset]
{text}
[classes.q]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "r"
class = "q"
pool = "p"
""")
    (fault,) = load_file(str(path)).faults
    assert str(fault).startswith(f"{path}:6: {expected_fault}")


# Guards against review/8: an id that is listed and not in the subset was forgotten after 4,096 others.
def test_ids_that_leave_the_list_are_remembered_and_those_that_stay_are_listed(listed):
    subset_filter, router = listed
    first, second, *rest = sorted(NAMES)
    removed = endpoint_entries(range(30))[0]._replace(name=first, state=EndpointState.REMOVED)
    subset_filter.endpoints_changed([removed], full=False)
    assert set(router.table.remembered_ids) == {first}
    subset_filter.endpoints_changed(
        [entry for entry in endpoint_entries(range(30)) if entry.name not in (first, second)], full=True
    )
    assert set(router.table.remembered_ids) == {first, second}
    assert set(router.table.listed_ids) == set(rest)
