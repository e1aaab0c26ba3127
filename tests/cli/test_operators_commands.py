"""Commands that query a running balancer: their output and exit status; and the list of commands."""

import json

import pytest
from click.testing import CliRunner
from fake_balancer import MEMBERS, RESPONSES, fake_balancer

from dahliabend.cli.commands import group


def run_command(*arguments):
    """Run a command; return its exit status and its output, including errors."""
    result = CliRunner().invoke(group, arguments)
    return result.exit_code, result.output


@pytest.mark.parametrize(
    ("command", "path"), [("members", "/api/members"), ("signals", "/api/signals"), ("turns", "/api/turns")]
)
def test_json_output_is_the_unchanged_response(command, path):
    with fake_balancer() as address:
        status, output = run_command(command, address, "--json")
    assert status == 0
    assert json.loads(output) == RESPONSES[path]


def test_members_prints_each_member_and_the_confidence_of_the_view():
    with fake_balancer() as address:
        status, output = run_command("members", address)
    rows = [[cell.strip() for cell in line.split("│")[1:-1]] for line in output.splitlines() if "│" in line]
    assert status == 0
    assert ["b1", "alive", "its start", "", "z", "1.5", "4", "b2", "10.0.0.1:7946"] in rows
    assert ["b2", "dead", "4 min", "b1", "z", "", "4", "", "10.0.0.2:7946"] in rows
    assert output.splitlines()[-1] == (
        "b1: view abc version 3, stable; heard 1.2 s ago, confidence 0.75; datagrams dropped: 1 bad, 2 late"
    )


def test_members_prints_an_unstable_view_and_exits_with_1():
    view = {**MEMBERS, "stable": False, "cut": True, "outcast": "b9", "dropped": {}}
    with fake_balancer({"/api/members": view}) as address:
        status, output = run_command("members", address)
    assert status == 1
    assert "not settled; it may be cut off; the others don't count it in: b9" in output
    assert output.endswith("datagrams dropped: none\n")


def test_signals_prints_reports_by_origin_and_the_suspected_upstreams():
    with fake_balancer() as address:
        status, output = run_command("signals", address)
    rows = [[cell.strip() for cell in line.split("│")[1:-1]] for line in output.splitlines() if "│" in line]
    assert status == 0
    assert ["b1 (this one)", "0.0 s", "0", "p u1", "5", "2"] in rows
    assert ["b2", "0.4 s", "2", "nothing", "", ""] in rows
    assert ["b3", "3 min", "1", "p u2", "9", "0"] in rows
    assert output.splitlines()[-2:] == [
        "0.1 s ago: p u1, said by 3",
        "3 beliefs told to the decisions; 1 datagrams unread, 2 reports refused",
    ]


def test_turns_prints_holder_age_and_own_rank_of_each_lease():
    with fake_balancer() as address:
        status, output = run_command("turns", address)
    rows = [[cell.strip() for cell in line.split("│")[1:-1]] for line in output.splitlines() if "│" in line]
    cells_by_task = {row[0]: (row[1], *row[3:]) for row in rows}
    assert status == 0
    assert cells_by_task["probe p u1"] == ("b1", "", "ok", "none")
    assert cells_by_task["probe p u2"] == ("b2", "5.5 s ago", "bad", "0")
    assert output.splitlines()[-1] == "period 2.5 s; not settled; 4 probes by this one; 5 refused"


def test_subset_prints_the_subsets_of_a_running_balancer_by_pool():
    with fake_balancer() as address:
        status, output = run_command("subset", address)
    rows = [[cell.strip() for cell in line.split("│")[1:-1]] for line in output.splitlines() if "│" in line]
    assert status == 0
    assert ["p", "2", "5", "view", "3", "1", "u1 1, u2 0.25"] in rows


def test_the_balancer_may_be_named_by_its_operators_file(tmp_path):
    path = tmp_path / "file.toml"
    with fake_balancer() as address:
        path.write_text(
            f'[listeners.operators]\naddress = "{address}"\n[pools.a]\ndiscovery = "10.2.0.1:8500"\n'
            '[classes.query]\neffect = "idempotent"\nservice-goal = "1s"\nhard-limit = "2s"\n'
            '[[routes]]\nname = "all"\nclass = "query"\npool = "a"\n'
        )
        assert run_command("members", str(path))[0] == 0
        path.write_text(path.read_text().replace("listeners.operators", "listeners.callers"))
        status, output = run_command("members", str(path))
    assert status == 1
    assert f"{path}:1: listeners.operators: is missing" in output


def test_an_error_response_is_printed_with_the_balancers_address():
    with fake_balancer({"/api/members": {"error": "not a member"}}, status=404) as address:
        assert run_command("members", address) == (1, f"Error: {address}: not a member\n")


def test_a_new_key_is_printed_without_querying_a_balancer():
    status, output = run_command("members", "--key")
    assert status == 0
    assert len(bytes.fromhex(output.strip())) == 32


def test_every_command_is_listed_with_its_help():
    status, output = run_command("--help")
    assert status == 0
    for name in ("check", "completion", "diff", "events", "explain", "members", "process-test", "serve",
                 "show", "signals", "simulate", "subset", "turns", "version"):  # fmt: skip
        assert any(line.split()[:1] == [name] for line in output.splitlines())


@pytest.mark.parametrize(("former", "name"), [("emulate", "simulate"), ("rig", "process-test")])
def test_a_former_command_name_runs_the_same_command_and_is_not_listed(former, name):
    """Scripts may still call commands by their former names."""
    _, help_text = run_command("--help")
    assert not any(line.split()[:1] == [former] for line in help_text.splitlines())
    assert run_command(former, "--help") == run_command(name, "--help")
    assert run_command(former, "script", "7") == run_command(name, "script", "7")
    assert run_command(former, "script", "7")[0] == 0
    assert run_command(former, "script", "--help") == run_command(name, "script", "--help")


@pytest.mark.parametrize(
    ("name", "subcommands"),
    [("emulate", ("sweep", "replay", "shrink", "script")), ("rig", ("run", "model", "script"))],
)
def test_a_former_command_name_has_all_subcommands(name, subcommands):
    for subcommand in subcommands:
        status, output = run_command(name, subcommand, "--help")
        assert status == 0
        assert "Usage: " in output
