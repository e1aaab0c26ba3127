"""Cluster scripts on the simulated network: generated ones, hard cases, invariants, and file errors."""

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster import script
from dahliabend.simulation.cluster.actual_history import ActualHistory
from dahliabend.simulation.cluster.invariants import MembershipChange, Outcome, check_membership_changes
from dahliabend.simulation.cluster.model import ClusterModel, run_script
from dahliabend.simulation.cluster.script import ClusterScript, S, Step

AGREE = Step(until="agree")


def s(seconds):
    return Duration(round(seconds * S))


@pytest.mark.parametrize("seed", range(30))
def test_generated_script_violates_no_invariant(seed):
    assert run_script(script.draw(seed, (5, 8, 16)[seed % 3])).violations == []


def test_same_seed_gives_the_same_run():
    first, second = (run_script(script.draw(7)) for _ in range(2))
    assert first.lines == second.lines
    assert first.counts == second.counts


GROUPS = [0, 1, 2], [3, 4, 5], [6, 7, 8]
HARD_CASES = {
    "split of two instances": ClusterScript(
        instances=2, steps=[AGREE, Step("split", parts=[[0], [1]], span=s(60), wait=s(60)), AGREE]
    ),
    "stop much shorter than a suspicion": ClusterScript(
        steps=[AGREE, Step("stop", whom=[2], span=s(0.2), wait=s(1)), AGREE]
    ),
    "stop for half a suspicion": ClusterScript(
        steps=[AGREE, Step("stop", whom=[2], span=s(8), wait=s(30)), AGREE]
    ),
    "half of the instances stopped": ClusterScript(
        instances=10,
        steps=[AGREE, Step("stop", whom=[0, 2, 4, 6, 8], span=s(60), wait=s(61)), AGREE],
    ),
    "one-way cut from one instance to all": ClusterScript(
        steps=[AGREE, Step("cut", whom=[1], span=s(90), wait=s(90)), AGREE]
    ),
    "one-way cuts around a ring": ClusterScript(
        instances=6,
        steps=[AGREE, *(Step("cut", whom=[n], to=[(n + 1) % 6]) for n in range(6)), Step(wait=s(180)),
               Step("mend"), AGREE],
    ),
    "loss of 30% and delay": ClusterScript(
        steps=[AGREE, Step("lose", size=0.3), Step("delay", delay=s(0.2), wait=s(240)),
               Step("mend"), AGREE]
    ),
    "split in three that heals in another order": ClusterScript(
        instances=9,
        steps=[AGREE, Step("split", parts=[GROUPS[0], GROUPS[1], GROUPS[2]], span=s(80), wait=s(60)),
               Step("split", parts=[GROUPS[0] + GROUPS[2], GROUPS[1]], span=s(120), wait=s(120)), AGREE],
    ),
    "instance that flaps faster than a suspicion": ClusterScript(
        steps=[AGREE, *(Step("kill", whom=[3], span=s(1), wait=s(2)) for _ in range(20)), AGREE]
    ),
    "restarts faster than a probe": ClusterScript(
        steps=[AGREE, *(Step("restart", whom=[n], wait=s(0.4)) for n in range(5)), AGREE]
    ),
    "seeds that leave and return together": ClusterScript(
        steps=[AGREE, Step("leave", whom=[0, 1], span=s(20), wait=s(40)), AGREE]
    ),
    "64 instances started at once": ClusterScript(instances=64, steps=[AGREE, Step(wait=s(20)), AGREE]),
    "random datagrams and replays": ClusterScript(
        steps=[AGREE, *(Step("strangers", wait=s(1)) for _ in range(10)), AGREE]
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", HARD_CASES)
def test_hard_case_violates_no_invariant(name):
    assert run_script(HARD_CASES[name]).violations == []


def test_cluster_agrees_again_after_all_seeds_were_killed():
    cluster_script = ClusterScript(
        instances=6, late=[5], seeds=[0, 1],
        steps=[AGREE, Step("kill", whom=[0, 1], until="out"), Step("lose", size=0.2), Step(wait=s(30)),
               Step("start", whom=[0], wait=s(10)), Step("start", whom=[5]), Step("mend"), AGREE],
    )  # fmt: skip
    assert run_script(cluster_script).violations == []


def test_invariants_find_false_death_late_detection_and_differing_views():
    actual_history = ActualHistory(3)
    for number in range(3):
        actual_history.start(0, number)
    actual_history.end(100 * S, 2)
    joins = [MembershipChange(S, a, "joined", b) for a in range(3) for b in range(3) if a != b]
    outcome = Outcome()
    check_membership_changes(
        actual_history,
        [*joins, MembershipChange(50 * S, 0, "died", 1)],
        SwimConfig(),
        400 * S,
        outcome,
    )
    assert sorted(text.split(": ")[1] for text in outcome.violations) == [
        "false death",
        "seen late",
        "seen late",
    ]
    cluster_script = ClusterScript(
        instances=3,
        steps=[AGREE, Step("split", parts=[[0], [1, 2]], wait=s(60)), Step(until="agree", within=s(1))],
    )
    assert "agree" in run_script(cluster_script).violations[0]


def test_generated_scripts_find_deaths_declared_by_hearsay():
    """Planted defect: a member declares another dead because a third one did, without a suspicion."""

    def false_death_runs(patch):
        count = 0
        for seed in range(12):
            model = ClusterModel(script.draw(seed))
            start_instance = model.cluster.start_instance

            def start_patched(*args, start_instance=start_instance, **kwargs):
                machine = start_instance(*args, **kwargs)
                patch(machine)
                return machine

            model.cluster.start_instance = start_patched
            count += any("false death" in text for text in model.run_script().violations)
        return count

    def plant_defect(machine):
        apply_update = machine.apply_update

        def declare_dead_by_hearsay(now, update):
            member = machine.members.get(update.name)
            is_current = member is not None and update.incarnation >= member.update.incarnation
            if (
                is_current
                and update.status is MemberStatus.DEAD
                and member.update.status is not MemberStatus.DEAD
            ):
                return machine.declare_dead(now, member)
            return apply_update(now, update)

        machine.apply_update = declare_dead_by_hearsay

    assert false_death_runs(lambda _: None) == 0
    assert false_death_runs(plant_defect) > 0


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('{"instances": 0}', "$.instances"),
        ('{"steps": [{"what": "explode"}]}', "$.steps[0].what"),
        ('{"steps": [{"what": "kill"}]}', "$.steps[0].whom"),
        ('{"steps": [{"what": "kill", "whom": [9]}]}', "$.steps[0].whom"),
        ('{"steps": [{"what": "split", "parts": [[1]]}]}', "$.steps[0].parts"),
        ('{"steps": [{"what": "lose", "size": 2}]}', "$.steps[0].size"),
        ('{"steps": [{"wait": "5"}]}', "$.steps[0].wait"),
        ('{"stepps": []}', "stepps"),
    ],
)
def test_invalid_file_is_reported_with_the_path_of_the_value(text, path):
    with pytest.raises(ValueError, match=path.replace("$", r"\$").replace("[", r"\[")):
        script.SCRIPT_FILES.decode(text.encode())


def test_encoded_script_decodes_to_an_equal_one():
    assert script.SCRIPT_FILES.decode(script.SCRIPT_FILES.encode(script.draw(3, 9))) == script.draw(3, 9)
