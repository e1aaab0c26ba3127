"""The operator's file: read with its places, refused by line and reason, shown, explained and compared."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from corpus import FAULTS, make

from dahliabend.config.operator_file.key_lines import key_lines
from dahliabend.config.operator_file.loader import load_source
from dahliabend.routing_rules import loaded_file

ROOT = Path(__file__).parents[2]
CORPUS = 500


def read(**files):
    """A plan of files given as text; the first is the one read."""
    texts = {f"{name}.toml": text for name, text in files.items()}

    def get(name):
        if name not in texts:
            raise FileNotFoundError(2, "No such file or directory")
        return texts[name].encode()

    return loaded_file.load_file(next(iter(texts)), environment={"HERE": "10.0.0.1"}, read=get)


def test_of_500_files_each_broken_one_is_refused_at_its_line_with_its_reason_and_no_sound_one():
    kinds = set()
    for seed in range(CORPUS):
        made = make(seed)
        plan = loaded_file.load_file("file.toml", environment={}, read=made.read)
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


def test_all_faults_are_told_in_one_go_by_their_lines():
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


def test_includes_come_first_and_what_comes_later_goes_before():
    route = '[[routes]]\nname = "first"\npath = "/x"\nclass = "query"\npool = "a"\n'
    below = f"[classes.query]\nrevenue = 2.0\n{route}"
    made = read(file='include = ["below.toml"]\n' + SMALL, below=below)
    assert made.is_usable, made.faults
    assert [route.name for route in made.file.routes] == ["first", "all"]
    shown = loaded_file.settings(made)
    assert shown["classes.query.revenue"] == (2.0, "below.toml:2")
    assert shown["routes[0].path"] == ("/x", "below.toml:5")
    assert shown["routes[1].pool"] == (
        "a",
        "file.toml:12",
    )


def test_an_include_that_goes_round_is_told_with_its_ring():
    made = read(one='include = ["two.toml"]\n' + SMALL, two='\ninclude = ["one.toml"]\n')
    assert [str(fault) for fault in made.faults] == [
        "two.toml:2: include: goes round: one.toml -> two.toml -> one.toml"
    ]


def test_the_environment_is_put_in_and_a_default_where_it_says_nothing():
    text = SMALL.replace("10.2.0.1", "${HERE}").replace("8500", "${PORT:-85}")
    assert read(file=text).file.pools["a"].discovery == "10.0.0.1:85"


def test_the_place_of_every_key_and_item():
    found = key_lines(b'[a."b c"]\nd = [\n 1,\n {e = 2},\n]\n[[f]]\n[f.g]\nh = 1\n[[f]]\nh.i = 2\n')
    assert found[("a", "b c", "d", 1, "e")] == 4
    assert found[("f", 0, "g", "h")] == 8
    assert found[("f", 1, "h", "i")] == 10


def test_what_cannot_be_read_is_told():
    assert "can't be read" in str(loaded_file.load_file("/nowhere.toml").faults[0])
    source = load_source("x", {}, lambda _: b"a = 1\n\xff\n")
    assert str(source.faults[0]) == "x:2: is no UTF-8"


def test_a_treatment_comes_from_the_route_then_the_class_then_the_defaults():
    text = "[defaults]\nattempts = 2\nretry-share = 0.1\n" + SMALL.replace(
        'hard-limit = "2s"\n', 'hard-limit = "2s"\nattempts = 4\nhop-time = "400ms"\n'
    ).replace('pool = "a"', 'pool = "a"\nhop-time = "300ms"')
    made = loaded_file.explain(read(file=text), "GET", "/x", {})["treatment"]
    assert made["hop-time"] == {"value": "300ms", "from": "routes[0].hop-time"}
    assert made["attempts"] == {"value": 4, "from": "classes.query.attempts"}
    assert made["retry-share"] == {"value": "10%", "from": "defaults.retry-share"}
    assert made["total-time"] == {"value": "2s", "from": "classes.query.hard-limit"}


def test_a_difference_goes_by_the_names_of_routes_not_their_order():
    other = '[[routes]]\nname = "more"\npath = "/m"\nclass = "query"\npool = "a"\n'
    old, new = read(file=SMALL + other), read(file=other + SMALL.replace('"1s"', '"800ms"'))
    assert [(entry["key"], entry["old"], entry["new"]) for entry in loaded_file.diff(old, new)] == [
        ("classes.query.service-goal", "1s", "800ms")
    ]
    gone = loaded_file.diff(old, read(file=SMALL))
    assert {entry["how"] for entry in gone} == {"removed"}
    assert "takes nothing new" in gone[0]["effect"]


def run(*arguments):
    done = subprocess.run(
        [sys.executable, "-m", "dahliabend", *map(str, arguments)], capture_output=True, text=True, cwd=ROOT
    )
    return done.returncode, done.stdout, done.stderr


def test_the_example_is_sound_and_the_commands_say_what_it_does(tmp_path):
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
def test_each_command_says_what_it_does(name):
    status, out, _ = run(name, "--help")
    assert status == 0
    assert "Usage: dahliabend" in out
