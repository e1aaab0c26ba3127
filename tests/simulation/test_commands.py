"""Runs commands in subprocesses, as users do."""

import json
import os
import subprocess
import sys


def run(*arguments, **environment):
    completed = subprocess.run(
        [sys.executable, "-m", "dahliabend", *arguments], capture_output=True, text=True,
        env={**os.environ, **environment},
    )  # fmt: skip
    return completed.returncode, completed.stdout, completed.stderr


def test_a_replay_prints_its_time_line_and_digest(tmp_path):
    status, out, _ = run("emulate", "script", "6", "--requests", "5")
    path = tmp_path / "five.json"
    path.write_text(out)
    status, out, _ = run("emulate", "replay", str(path), "--about", "c1")
    lines = out.splitlines()
    assert status == 0
    assert "c1: " in lines[0] + lines[1] + lines[2]
    assert lines[-1].startswith("digest ")
    assert run("emulate", "replay", str(path), "--quiet")[1].splitlines()[-1] == lines[-1]


def test_an_invalid_file_is_reported_in_one_line_with_status_2(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('[[faults]]\nwhat = "kill"\nwhom = 5\nat = "1s"\n')
    status, out, err = run("emulate", "replay", str(path))
    assert status == 2
    assert not out
    assert "bad.toml: $.faults[0].whom: there is no balancer 5" in err
    assert run("emulate", "sweep", "--seeds", "x")[0] == 2
    assert run("emulate", "sweep", "--fault", "tea", "--seeds", "1")[0] == 2


def test_a_sweep_reports_violations_by_fault():
    status, out, _ = run(
        "emulate", "sweep", "--seeds", "3..6", "--jobs", "2", "--fault", "hang", COLUMNS="200"
    )
    assert status == 0
    assert "hang" in out
    assert "0 runs broke a rule" in out
    assert "4 runs" in out


def test_json_output_and_shell_completion(tmp_path):
    status, out, _ = run("emulate", "replay", "3", "--json")
    assert status == 0
    assert json.loads(out)["violations"] == []
    assert json.loads(out)["counts"]["asked"] >= 100
    assert list(json.loads(out)) == [
        "seed", "digest", "violations", "counts", "steps", "span", "faults", "lines", "worth",
    ]  # fmt: skip
    status, out, _ = run("emulate", "sweep", "--seeds", "2", "--jobs", "1", "--json")
    assert status == 0
    assert json.loads(out)["runs"] == 2
    assert "_DAHLIABEND_COMPLETE" in run("completion", "bash")[1]
    assert run("completion", "csh")[0] == 2
    assert run("events")[1].startswith("# Events")


def test_serving_imports_nothing_of_the_command_line():
    """Without PROXY_CONFIG, serving exits with an error after it has imported all that it needs."""
    code = (
        "import sys; sys.argv = ['dahliabend']\n"
        "from dahliabend.__main__ import main\n"
        "main()\n"
        "tops = ('click', 'rich', 'structlog', 'tree_sitter')\n"
        "names = ('cli', 'simulation', 'config.operator_file', 'routing_rules')\n"
        "own = tuple('dahliabend.' + name for name in names)\n"
        "print(sorted(m for m in sys.modules if m.split('.')[0] in tops or m.startswith(own)))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True,
        env={name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"},
    )  # fmt: skip
    assert completed.stdout.strip() == "[]"
    assert "PROXY_CONFIG" in completed.stderr
