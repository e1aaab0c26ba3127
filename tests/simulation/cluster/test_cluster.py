"""Scripts on the simulated network: seeds, hard cases by name, what the invariants find, invalid files."""

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
def test_drawn_faults_cause_no_false_death_and_all_agree_afterwards(seed):
    assert run_script(script.draw(seed, (5, 8, 16)[seed % 3])).violations == []


def test_the_same_seed_gives_the_same_run():
    one, other = (run_script(script.draw(7)) for _ in range(2))
    assert one.lines == other.lines
    assert one.counts == other.counts


THREE = [0, 1, 2], [3, 4, 5], [6, 7, 8]
HARD = {
    "each of two thinks the other dead": ClusterScript(
        instances=2, steps=[AGREE, Step("split", parts=[[0], [1]], span=s(60), wait=s(60)), AGREE]
    ),
    "stopped for a moment": ClusterScript(
        steps=[AGREE, Step("stop", whom=[2], span=s(0.2), wait=s(1)), AGREE]
    ),
    "stopped for half a suspicion": ClusterScript(
        steps=[AGREE, Step("stop", whom=[2], span=s(8), wait=s(30)), AGREE]
    ),
    "half stopped at once": ClusterScript(
        instances=10,
        steps=[AGREE, Step("stop", whom=[0, 2, 4, 6, 8], span=s(60), wait=s(61)), AGREE],
    ),
    "a cut one way from one to all": ClusterScript(
        steps=[AGREE, Step("cut", whom=[1], span=s(90), wait=s(90)), AGREE]
    ),
    "cuts one way around a ring": ClusterScript(
        instances=6,
        steps=[AGREE, *(Step("cut", whom=[n], to=[(n + 1) % 6]) for n in range(6)), Step(wait=s(180)),
               Step("mend"), AGREE],
    ),
    "three in ten lost and late": ClusterScript(
        steps=[AGREE, Step("lose", size=0.3), Step("delay", delay=s(0.2), wait=s(240)),
               Step("mend"), AGREE]
    ),
    "three parts that heal in another order": ClusterScript(
        instances=9,
        steps=[AGREE, Step("split", parts=[THREE[0], THREE[1], THREE[2]], span=s(80), wait=s(60)),
               Step("split", parts=[THREE[0] + THREE[2], THREE[1]], span=s(120), wait=s(120)), AGREE],
    ),
    "one that flaps faster than a suspicion lasts": ClusterScript(
        steps=[AGREE, *(Step("kill", whom=[3], span=s(1), wait=s(2)) for _ in range(20)), AGREE]
    ),
    "back within a probe": ClusterScript(
        steps=[AGREE, *(Step("restart", whom=[n], wait=s(0.4)) for n in range(5)), AGREE]
    ),
    "seeds that left and came back at one time": ClusterScript(
        steps=[AGREE, Step("leave", whom=[0, 1], span=s(20), wait=s(40)), AGREE]
    ),
    "64 at once": ClusterScript(instances=64, steps=[AGREE, Step(wait=s(20)), AGREE]),
    "strangers, old news, too much at once": ClusterScript(
        steps=[AGREE, *(Step("strangers", wait=s(1)) for _ in range(10)), AGREE]
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", HARD)
def test_hard_cases(name):
    assert run_script(HARD[name]).violations == []


def test_dead_seeds_do_not_matter_to_members_that_know_others():
    cluster_script = ClusterScript(
        instances=6, late=[5], seeds=[0, 1],
        steps=[AGREE, Step("kill", whom=[0, 1], until="out"), Step("lose", size=0.2), Step(wait=s(30)),
               Step("start", whom=[0], wait=s(10)), Step("start", whom=[5]), Step("mend"), AGREE],
    )  # fmt: skip
    assert run_script(cluster_script).violations == []


def test_invariants_find_a_false_death_a_late_detection_and_differing_views():
    actual_history = ActualHistory(3)
    for number in range(3):
        actual_history.start(0, number)
    actual_history.end(100 * S, 2)
    format_address = [MembershipChange(S, a, "joined", b) for a in range(3) for b in range(3) if a != b]
    outcome = Outcome()
    check_membership_changes(
        actual_history,
        [*format_address, MembershipChange(50 * S, 0, "died", 1)],
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


def test_seeds_find_deaths_declared_by_hearsay():
    """The defect: a member declares dead whom another declared dead."""

    def deaths(patch):
        found = 0
        for seed in range(12):
            model = ClusterModel(script.draw(seed))
            begin = model.cluster.start_instance

            def started(*given, begin=begin, **more):
                made = begin(*given, **more)
                patch(made)
                return made

            model.cluster.start_instance = started
            found += any("false death" in text for text in model.run_script().violations)
        return found

    def hearsay(machine):
        apply_update = machine.apply_update

        def bury_by_hearsay(now, update):
            member = machine.members.get(update.name)
            known = member is not None and update.incarnation >= member.update.incarnation
            if known and update.status is MemberStatus.DEAD and member.update.status is not MemberStatus.DEAD:
                return machine.declare_dead(now, member)
            return apply_update(now, update)

        machine.apply_update = bury_by_hearsay

    assert deaths(lambda _: None) == 0
    assert deaths(hearsay) > 0


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
def test_an_invalid_file_is_reported_by_its_path(text, path):
    with pytest.raises(ValueError, match=path.replace("$", r"\$").replace("[", r"\[")):
        script.SCRIPT_FILES.decode(text.encode())


def test_a_script_is_the_same_after_it_was_written_and_read():
    assert script.SCRIPT_FILES.decode(script.SCRIPT_FILES.encode(script.draw(3, 9))) == script.draw(3, 9)
