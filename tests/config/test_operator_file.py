"""Operators' files: loading with line numbers, faults by line and reason, and the commands that show them."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from corpus import FAULTS, generate_operator_files

from dahliabend.config.operator_file.key_lines import key_lines
from dahliabend.config.operator_file.loader import load_source
from dahliabend.routing_rules.comparison import diff
from dahliabend.routing_rules.explanation import ExplainedValue, explain
from dahliabend.routing_rules.loaded_file import collect_settings, load_file

ROOT = Path(__file__).parents[2]
CORPUS_SIZE = 500


def load_texts(**files):
    """Load files that are given as text by name; the first is the top file."""
    texts = {f"{name}.toml": text for name, text in files.items()}

    def read_text(name):
        if name not in texts:
            raise FileNotFoundError(2, "No such file or directory")
        return texts[name].encode()

    return load_file(next(iter(texts)), environment={"HERE": "10.0.0.1"}, read=read_text)


def test_of_500_generated_files_only_faulty_ones_are_rejected_with_line_and_reason():
    kinds = set()
    for seed in range(CORPUS_SIZE):
        generated = generate_operator_files(seed)
        loaded_file = load_file("file.toml", environment={}, read=generated.read)
        if not generated.kind:
            assert loaded_file.has_no_faults, (seed, [str(fault) for fault in loaded_file.faults])
            continue
        kinds.add(generated.kind)
        messages = [str(fault) for fault in loaded_file.faults]
        matching = [
            fault
            for fault in loaded_file.faults
            if fault.line == generated.line and generated.reason in fault.reason
        ]
        assert matching, (seed, generated.kind, generated.line, messages)
        assert not loaded_file.has_no_faults, (seed, generated.kind, generated.line, messages)
    assert len(kinds) == len(FAULTS)


MINIMAL_FILE = """
[pools.a]
discovery = "10.2.0.1:8500"
[classes.query]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "all"
class = "query"
pool = "a"
"""


def test_all_faults_are_reported_together_by_their_lines():
    text = (
        MINIMAL_FILE.replace('"1s"', "1000")
        .replace('"2s"', '"2 weeks"')
        .replace('class = "query"', 'clas = "query"')
    )
    faults = load_texts(file=text).faults
    assert [fault.line for fault in faults] == [6, 7, 8, 10]
    assert [fault.key for fault in faults] == [
        "classes.query.service-goal", "classes.query.hard-limit", "routes[0]", "routes[0].clas",
    ]  # fmt: skip
    assert "is 'class' meant?" in faults[3].reason


def test_included_files_are_read_first_and_later_values_replace_earlier_ones():
    route = '[[routes]]\nname = "first"\npath = "/x"\nclass = "query"\npool = "a"\n'
    included = f"[classes.query]\nrevenue = 2.0\n{route}"
    loaded = load_texts(file='include = ["below.toml"]\n' + MINIMAL_FILE, below=included)
    assert loaded.has_no_faults, loaded.faults
    assert [route.name for route in loaded.file.routes] == ["first", "all"]
    shown_settings = collect_settings(loaded)
    assert shown_settings["classes.query.revenue"] == (2.0, "below.toml:2")
    assert shown_settings["routes[0].path"] == ("/x", "below.toml:5")
    assert shown_settings["routes[1].pool"] == ("a", "file.toml:12")


def test_an_include_cycle_is_reported_with_its_files():
    loaded = load_texts(one='include = ["two.toml"]\n' + MINIMAL_FILE, two='\ninclude = ["one.toml"]\n')
    assert [str(fault) for fault in loaded.faults] == [
        "two.toml:2: include: forms a cycle: one.toml -> two.toml -> one.toml"
    ]


def test_variables_are_substituted_and_defaults_used_if_they_are_not_set():
    text = MINIMAL_FILE.replace("10.2.0.1", "${HERE}").replace("8500", "${PORT:-85}")
    assert load_texts(file=text).file.pools["a"].discovery == "10.0.0.1:85"


def test_key_lines_has_the_line_of_every_key_and_list_item():
    lines_by_key = key_lines(b'[a."b c"]\nd = [\n 1,\n {e = 2},\n]\n[[f]]\n[f.g]\nh = 1\n[[f]]\nh.i = 2\n')
    assert lines_by_key[("a", "b c", "d", 1, "e")] == 4
    assert lines_by_key[("f", 0, "g", "h")] == 8
    assert lines_by_key[("f", 1, "h", "i")] == 10


def test_an_unreadable_file_is_reported_as_a_fault():
    assert "can't be read" in str(load_file("/nowhere.toml").faults[0])
    source = load_source("x", {}, lambda _: b"a = 1\n\xff\n")
    assert str(source.faults[0]) == "x:2: is no UTF-8"


def test_treatment_settings_come_from_the_route_then_the_class_then_the_defaults():
    text = "[defaults]\nattempts = 2\nretry-share = 0.1\n" + MINIMAL_FILE.replace(
        'hard-limit = "2s"\n', 'hard-limit = "2s"\nattempts = 4\nhop-time = "400ms"\n'
    ).replace('pool = "a"', 'pool = "a"\nhop-time = "300ms"')
    treatment = explain(load_texts(file=text), "GET", "/x", {}).treatment
    assert treatment["hop-time"] == ExplainedValue("300ms", "routes[0].hop-time")
    assert treatment["attempts"] == ExplainedValue(4, "classes.query.attempts")
    assert treatment["retry-share"] == ExplainedValue("10%", "defaults.retry-share")
    assert treatment["total-time"] == ExplainedValue("2s", "classes.query.hard-limit")


def test_diff_compares_routes_by_name_not_by_order():
    other_route = '[[routes]]\nname = "more"\npath = "/m"\nclass = "query"\npool = "a"\n'
    old, new = (
        load_texts(file=MINIMAL_FILE + other_route),
        load_texts(file=other_route + MINIMAL_FILE.replace('"1s"', '"800ms"')),
    )
    assert [(entry["key"], entry["old"], entry["new"]) for entry in diff(old, new)] == [
        ("classes.query.service-goal", "1s", "800ms")
    ]
    changes_after_removal = diff(old, load_texts(file=MINIMAL_FILE))
    assert {entry["how"] for entry in changes_after_removal} == {"removed"}
    assert "takes nothing new" in changes_after_removal[0]["effect"]


def run_cli(*arguments):
    finished = subprocess.run(
        [sys.executable, "-m", "dahliabend", *map(str, arguments)], capture_output=True, text=True, cwd=ROOT
    )
    return finished.returncode, finished.stdout, finished.stderr


def test_the_example_file_is_valid_and_the_commands_describe_it(tmp_path):
    example = "deploy/example.toml"
    assert run_cli("check", example)[0] == 0
    status, out, _ = run_cli("explain", example, "get", "/reading/7", "-H", "X-Version: next", "--json")
    assert status == 0
    assert json.loads(out)["route"] == "readings, tested"
    assert json.loads(run_cli("show", example, "--json")[1])["pools.records.fallback"]["value"] == "archive"
    changed = tmp_path / "new.toml"
    changed.write_text((ROOT / example).read_text().replace("records = 90", "records = 80"))
    status, out, _ = run_cli("diff", example, changed, "--json")
    assert status == 1
    assert [entry["key"] for entry in json.loads(out)] == ["routes.readings.pools.records"]
    text = (ROOT / example).read_text().replace("concurrency = 400", "second-copy-after = '1s'")
    changed.write_text(text)
    line = text.splitlines().index("second-copy-after = '1s'") + 1
    status, out, _err = run_cli("check", changed)
    assert status == 1
    assert "never two hops at once" in out
    assert f"{changed}:{line}:" in out
    assert run_cli("diff", example, changed)[0] == 1
    assert run_cli("check")[0] == 2
    assert run_cli("explain", example, "GET")[0] == 2


@pytest.mark.parametrize("name", ["check", "show", "explain", "diff", "emulate", "serve", "version"])
def test_each_command_has_a_help_text(name):
    status, out, _ = run_cli(name, "--help")
    assert status == 0
    assert "Usage: dahliabend" in out
