"""Scenario files are read completely, or rejected with the path and the reason."""

import pytest

from dahliabend.simulation.scenario import GROUP_OF, SCENARIO_FILES, S, Scenario
from dahliabend.simulation.scenario_generator import draw


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('{"length": "2"}', "no span of time"),
        ('{"length": 2000}', "no unit"),
        ('{"world": {"upstreem": 3}}', "upstreem"),
        ('{"faults": [{"what": "explode", "at": "1s"}]}', "$.faults[0].what"),
        ('{"faults": [{"what": "hang", "at": "1s", "whom": 9}]}', "$.faults[0].whom: there is no upstream 9"),
        ('{"faults": [{"what": "kill", "at": "1s", "whom": 2}]}', "there is no balancer 2"),
        ('{"faults": [{"what": "cut-zone", "at": "1s", "whom": 1}]}', "there is no zone 1"),
        ('{"world": {"zones": 2}, "faults": [{"what": "cut-zone", "at": "1s"}]}', "can't be cut off"),
        ('{"faults": [{"what": "upgrade", "at": "1s"}]}', "wants world.shared"),
        ('{"faults": [{"what": "hang"}]}', "needs either at or on"),
        ('{"faults": [{"what": "hang", "at": "9s"}]}', "outside the run"),
        ('{"faults": [{"what": "hang", "on": "tea"}]}', "'tea' is none of"),
        ('{"faults": [{"what": "reset-hop", "at": "1s"}]}', "needs a hop's event"),
        ('{"faults": [{"what": "hang", "at": "1s", "span": "-1ms"}]}', "can't be negative"),
        ('{"world": {"admin": false}, "faults": [{"what": "exclude", "at": "1s"}]}', "no operators' door"),
        ('{"load": {"over": "9s"}}', "$.load.over"),
        ('{"world": {"sockets": 1}}', "$.world.sockets"),
        ('{"load": {"group": "street"}}', "$.load.group"),
        ('{"length": ', "truncated"),
    ],
)
def test_an_invalid_scenario_is_rejected_by_path(text, message):
    with pytest.raises(ValueError, match=r".") as raised:
        SCENARIO_FILES.decode(text.encode())
    assert message in str(raised.value)


def test_an_error_names_its_file(tmp_path):
    path = tmp_path / "wrong.toml"
    path.write_text('length = "5 hours"\n')
    with pytest.raises(ValueError, match=r"wrong\.toml.*no span"):
        SCENARIO_FILES.read(str(path))
    with pytest.raises(ValueError, match=r"none\.toml: No such file"):
        SCENARIO_FILES.read(str(tmp_path / "none.toml"))


def test_toml_and_json_are_equivalent(tmp_path):
    path = tmp_path / "one.toml"
    path.write_text(
        'seed = 4\n[world]\nupstreams = 3\n[[faults]]\nwhat = "hang"\non = "begun"\nafter = "1us"\n'
    )
    scenario = SCENARIO_FILES.read(str(path))
    assert SCENARIO_FILES.decode(SCENARIO_FILES.encode(scenario)) == scenario
    assert scenario.faults[0].after == 1
    assert scenario.length == 5 * S


def test_a_drawn_scenario_is_valid_and_the_same_each_time():
    drawn_faults = set()
    for seed in range(400):
        scenario = draw(seed)
        assert SCENARIO_FILES.decode(SCENARIO_FILES.encode(scenario)) == scenario == draw(seed)
        assert scenario.world.balancers >= 2
        assert scenario.load.requests >= 100
        assert scenario.length >= 5 * S
        assert scenario.faults
        drawn_faults |= {fault.what for fault in scenario.faults}
    assert drawn_faults == set(GROUP_OF)


def test_faults_may_be_restricted():
    kinds = {fault.what for seed in range(50) for fault in draw(seed, ("hang", "kill")).faults}
    assert kinds == {"hang", "kill"}


def test_an_empty_file_is_a_complete_scenario():
    assert SCENARIO_FILES.decode(b"{}") == Scenario()
