"""The list on its way to the decisions: only the subset, drains at once, and faults of the table."""

from types import SimpleNamespace

import pytest

from dahliabend.config.operator_file.schema import SubsetSettings
from dahliabend.model import EndpointState
from dahliabend.routing_rules.loaded_file import load_file
from dahliabend.server.subset_filter import SubsetFilter


class Router:
    """Writes down what it is told."""

    def __init__(self):
        self.told, self.excluded, self.failed = [], set(), 0
        self.table = SimpleNamespace(
            indices={}, known_ids={}, remember_id=lambda name: self.table.known_ids.update({name: None})
        )
        self.balancer = SimpleNamespace(
            selection=SimpleNamespace(ready=[]),
            throttling=SimpleNamespace(window=1),
            outliers=SimpleNamespace(last_answer_at=0),
        )

    def endpoints_changed(self, rows, full):
        assert full
        self.told.append({row[0]: row for row in rows})
        self.table.indices = dict.fromkeys(row[0] for row in rows)
        self.balancer.selection.ready = [
            SimpleNamespace(is_ejected=False, last_ended_at=0, budget_filled_at=0) for row in rows
        ]

    def endpoint_poll_failed(self):
        self.failed += 1


def rows(numbers, state=EndpointState.READY):
    return [(f"u{n}", ("127.0.0.1", 1 + n), state, 0, 1.0, 0, "a") for n in numbers]


def narrowed(**more):
    router, timers = (
        Router(),
        SimpleNamespace(schedule=lambda when, call: [when, 0, call, ()], cancel=lambda entry: None),
    )
    made = SubsetFilter(router, SubsetSettings(**more), 20, None, "me", timers, lambda *_, **__: None)
    return made, router


def test_only_the_subset_is_told_and_the_rest_is_known_to_operators():
    made, router = narrowed(least=6, degree=4)
    made.endpoints_changed(rows(range(30)), full=True)
    assert set(router.told[-1]) == set(made.subset.weights) and 6 <= len(router.told[-1]) <= 9
    assert set(router.table.known_ids) == {f"u{n}" for n in range(30)}
    assert made.status()["by"] == "name" and made.status()["of"] == 30


def test_the_decisions_are_told_how_many_balancers_share_what_is_used():
    made, router = narrowed(least=6, degree=4)
    made.endpoints_changed(rows(range(30)), full=True)
    assert router.balancer.selection.instance_count == pytest.approx(len(router.told[-1]) * 20 / 30)


def test_by_their_numbers_all_come_to_one_relation_without_a_fleet():
    load, sizes = dict.fromkeys((f"u{n}" for n in range(30)), 0.0), set()
    for index in range(20):
        made, router = narrowed(least=6, degree=4, self_index=index)
        made.endpoints_changed(rows(range(30)), full=True)
        assert made.status()["by"] == "index" and made.status()["balancers"] == 20
        sizes.add(made.status()["size"])
        for name, weight in made.subset.weights.items():
            load[name] += weight / made.status()["size"]
    assert max(load.values()) <= 1.02 * sum(load.values()) / 30 and max(sizes) <= 9


def test_a_drain_of_one_in_use_is_told_at_once_and_of_another_not_at_all():
    made, router = narrowed(least=6, degree=4)
    made.endpoints_changed(rows(range(30)), full=True)
    used, other = (int(name[1:]) for name in (sorted(made.subset.weights)[0],
                   sorted({f"u{n}" for n in range(30)} - made.subset.weights.keys())[0]))  # fmt: skip
    made.endpoints_changed(rows([used, other], EndpointState.DRAINING), full=False)
    assert router.told[-1][f"u{used}"][2] is EndpointState.DRAINING and f"u{other}" not in router.told[-1]
    made.endpoints_changed(rows([used], EndpointState.REMOVED), full=False)
    assert f"u{used}" not in router.told[-1] and len(router.told[-1]) >= 6


def test_one_that_was_taken_out_by_an_operator_is_held():
    made, router = narrowed(least=6, degree=4)
    made.endpoints_changed(rows(range(30)), full=True)
    name = sorted(made.subset.weights)[0]
    router.excluded.add(name)
    made.endpoints_changed(rows(range(100, 130)) + rows([int(name[1:])]), full=True)
    assert name in router.told[-1]


def test_a_list_that_fails_is_passed_on():
    made, router = narrowed()
    made.endpoint_poll_failed()
    assert router.failed == 1


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("least = 0", "pools.p.subset.least: 0 is not above 0"),
        ("degree = -1", "pools.p.subset.degree: -1 is not above 0"),
        ('hold = "0s"', "pools.p.subset.hold: 0s is not above 0"),
        ("hold = 5", "pools.p.subset.hold: 5 has no unit"),
        ("size = 5", "pools.p.subset.size: is no key here"),
        ("self-index = 1", "pools.p.subset.self-index: 1 is not between 0 and 0: see balancers"),
    ],
)
def test_a_fault_of_the_table_is_told_by_line(tmp_path, text, says):
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
    assert str(fault).startswith(f"{path}:6: {says}")
