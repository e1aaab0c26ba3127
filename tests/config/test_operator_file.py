"""The operator's file: read with its places, refused by line and reason, shown, explained and compared."""

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
from dahliabend.routing_rules.loaded_file import load_file, settings

ROOT = Path(__file__).parents[2]
CORPUS = 500


def read(**files):
    """A plan of files given as text; the first is the one read."""
    texts = {f"{name}.toml": text for name, text in files.items()}

    def get(name):
        if name not in texts:
            raise FileNotFoundError(2, "No such file or directory")
        return texts[name].encode()

    return load_file(next(iter(texts)), environment={"HERE": "10.0.0.1"}, read=get)


def test_of_500_files_each_faulty_one_is_refused_at_its_line_with_its_reason_and_no_sound_one():
    kinds = set()
    for seed in range(CORPUS):
        made = generate_operator_files(seed)
        plan = load_file("file.toml", environment={}, read=made.read)
        if not made.kind:
            assert plan.is_usable, (seed, [str(fault) for fault in plan.faults])
            continue
        kinds.add(made.kind)
        found = [str(fault) for fault in plan.faults]
        matching = [fault for fault in plan.faults if fault.line == made.line and made.reason in fault.reason]
        assert matching, (seed, made.kind, made.line, found)
        assert not plan.is_usable, (seed, made.kind, made.line, found)
    assert len(kinds) == len(FAULTS)


SMALL = """
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
        SMALL.replace('"1s"', "1000")
        .replace('"2s"', '"2 weeks"')
        .replace('class = "query"', 'clas = "query"')
    )
    faults = read(file=text).faults
    assert [fault.line for fault in faults] == [6, 7, 8, 10]
    assert [fault.key for fault in faults] == [
        "classes.query.service-goal", "classes.query.hard-limit", "routes[0]", "routes[0].clas",
    ]  # fmt: skip
    assert "is 'class' meant?" in faults[3].reason


def test_included_files_are_read_first_and_later_values_replace_earlier_ones():
    route = '[[routes]]\nname = "first"\npath = "/x"\nclass = "query"\npool = "a"\n'
    below = f"[classes.query]\nrevenue = 2.0\n{route}"
    made = read(file='include = ["below.toml"]\n' + SMALL, below=below)
    assert made.is_usable, made.faults
    assert [route.name for route in made.file.routes] == ["first", "all"]
    shown = settings(made)
    assert shown["classes.query.revenue"] == (2.0, "below.toml:2")
    assert shown["routes[0].path"] == ("/x", "below.toml:5")
    assert shown["routes[1].pool"] == (
        "a",
        "file.toml:12",
    )


def test_an_include_cycle_is_reported_with_its_files():
    made = read(one='include = ["two.toml"]\n' + SMALL, two='\ninclude = ["one.toml"]\n')
    assert [str(fault) for fault in made.faults] == [
        "two.toml:2: include: goes round: one.toml -> two.toml -> one.toml"
    ]


def test_variables_are_substituted_and_defaults_where_they_are_not_set():
    text = SMALL.replace("10.2.0.1", "${HERE}").replace("8500", "${PORT:-85}")
    assert read(file=text).file.pools["a"].discovery == "10.0.0.1:85"


def test_the_line_of_every_key_and_item_is_found():
    found = key_lines(b'[a."b c"]\nd = [\n 1,\n {e = 2},\n]\n[[f]]\n[f.g]\nh = 1\n[[f]]\nh.i = 2\n')
    assert found[("a", "b c", "d", 1, "e")] == 4
    assert found[("f", 0, "g", "h")] == 8
    assert found[("f", 1, "h", "i")] == 10


def test_a_file_that_cannot_be_read_is_a_fault():
    assert "can't be read" in str(load_file("/nowhere.toml").faults[0])
    source = load_source("x", {}, lambda _: b"a = 1\n\xff\n")
    assert str(source.faults[0]) == "x:2: is no UTF-8"


def test_a_treatment_comes_from_the_route_then_the_class_then_the_defaults():
    text = "[defaults]\nattempts = 2\nretry-share = 0.1\n" + SMALL.replace(
        'hard-limit = "2s"\n', 'hard-limit = "2s"\nattempts = 4\nhop-time = "400ms"\n'
    ).replace('pool = "a"', 'pool = "a"\nhop-time = "300ms"')
    made = explain(read(file=text), "GET", "/x", {}).treatment
    assert made["hop-time"] == ExplainedValue("300ms", "routes[0].hop-time")
    assert made["attempts"] == ExplainedValue(4, "classes.query.attempts")
    assert made["retry-share"] == ExplainedValue("10%", "defaults.retry-share")
    assert made["total-time"] == ExplainedValue("2s", "classes.query.hard-limit")


def test_routes_are_compared_by_name_not_by_order():
    other = '[[routes]]\nname = "more"\npath = "/m"\nclass = "query"\npool = "a"\n'
    old, new = read(file=SMALL + other), read(file=other + SMALL.replace('"1s"', '"800ms"'))
    assert [(entry["key"], entry["old"], entry["new"]) for entry in diff(old, new)] == [
        ("classes.query.service-goal", "1s", "800ms")
    ]
    gone = diff(old, read(file=SMALL))
    assert {entry["how"] for entry in gone} == {"removed"}
    assert "takes nothing new" in gone[0]["effect"]


def run(*arguments):
    done = subprocess.run(
        [sys.executable, "-m", "dahliabend", *map(str, arguments)], capture_output=True, text=True, cwd=ROOT
    )
    return done.returncode, done.stdout, done.stderr


def test_the_example_file_is_sound_and_the_commands_describe_it(tmp_path):
    example = "deploy/example.toml"
    assert run("check", example)[0] == 0
    status, out, _ = run("explain", example, "get", "/reading/7", "-H", "X-Version: next", "--json")
    assert status == 0
    assert json.loads(out)["route"] == "readings, tested"
    assert json.loads(run("show", example, "--json")[1])["pools.records.fallback"]["value"] == "archive"
    changed = tmp_path / "new.toml"
    changed.write_text((ROOT / example).read_text().replace("records = 90", "records = 80"))
    status, out, _ = run("diff", example, changed, "--json")
    assert status == 1
    assert [entry["key"] for entry in json.loads(out)] == ["routes.readings.pools.records"]
    text = (ROOT / example).read_text().replace("concurrency = 400", "second-copy-after = '1s'")
    changed.write_text(text)
    line = text.splitlines().index("second-copy-after = '1s'") + 1
    status, out, _err = run("check", changed)
    assert status == 1
    assert "never two hops at once" in out
    assert f"{changed}:{line}:" in out
    assert run("diff", example, changed)[0] == 1
    assert run("check")[0] == 2
    assert run("explain", example, "GET")[0] == 2


@pytest.mark.parametrize("name", ["check", "show", "explain", "diff", "emulate", "serve", "version"])
def test_each_command_has_a_help_text(name):
    status, out, _ = run(name, "--help")
    assert status == 0
    assert "Usage: dahliabend" in out
