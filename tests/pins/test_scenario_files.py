"""Stored scenarios and cluster scripts: the keys of their tables with defaults, and the files of some seeds.

A renamed field or a changed random draw would make stored files unreadable and noted seeds useless.
"""

import json

import msgspec
import pytest
from golden_files import as_json, read_golden, write_golden

from dahliabend.simulation import scenario_generator
from dahliabend.simulation.cluster import script
from dahliabend.simulation.scenario import SCENARIO_FILES, Fault, LoadSpec, Scenario, WorldSpec

KEYS = "scenario_file_keys.json"
SCENARIOS = "scenario_files.json"
SCRIPTS = "cluster_script_files.json"
TABLES = {
    "Scenario": Scenario,
    "WorldSpec": WorldSpec,
    "LoadSpec": LoadSpec,
    "Fault": Fault,
    "Fleet": script.ClusterScript,
    "Step": script.Step,
}
SCENARIO_SEEDS = (0, 1, 5, 44, 120)
SCRIPT_SEEDS = (0, 3)


def table_keys() -> dict[str, dict[str, str]]:
    """Return the default of each key as text, by table and key."""
    return {
        name: {field.encode_name: str(field.default) for field in msgspec.structs.fields(table)}
        for name, table in TABLES.items()
    }


def scenario_files() -> dict[str, object]:
    """Return the file of each scenario, by seed."""
    return {
        str(seed): json.loads(SCENARIO_FILES.encode(scenario_generator.draw(seed))) for seed in SCENARIO_SEEDS
    }


def script_files() -> dict[str, object]:
    """Return the file of each cluster script, by seed."""
    return {str(seed): json.loads(script.SCRIPT_FILES.encode(script.draw(seed))) for seed in SCRIPT_SEEDS}


@pytest.mark.parametrize(
    ("name", "produce"), [(KEYS, table_keys), (SCENARIOS, scenario_files), (SCRIPTS, script_files)]
)
def test_files_have_the_recorded_keys_and_values(name, produce):
    assert as_json(produce()) == read_golden(name)


def test_stored_file_is_decoded_as_the_scenario_drawn_from_its_seed():
    for seed, content in json.loads(read_golden(SCENARIOS)).items():
        assert SCENARIO_FILES.decode(json.dumps(content).encode()) == scenario_generator.draw(int(seed))


if __name__ == "__main__":
    write_golden(KEYS, as_json(table_keys()))
    write_golden(SCENARIOS, as_json(scenario_files()))
    write_golden(SCRIPTS, as_json(script_files()))
