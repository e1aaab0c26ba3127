"""The platform's JSON configuration: the value each key leads to, and the fault told for each bad key."""

import copy
import json
import tempfile
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

import pytest
from golden_files import as_json, read_golden, write_golden

from dahliabend.config import platform as config
from dahliabend.config.policy_settings import read_policy_settings
from dahliabend.config.server_settings import ServerSettings
from dahliabend.model import PolicySettings, RequestClass

INPUT = "platform_config_input.json"
VALUES = "platform_config_values.json"
DEFAULTS = "platform_config_defaults.json"
FAULTS = "platform_config_faults.json"
RELOAD_FAULTS = "platform_config_reload_faults.json"
ENVIRONMENT = "platform_config_environment.json"

KeyPath = tuple[str | int, ...]
MISSING = "(missing)"
BAD_VALUES = ("text", -1, 0, 1e13, None, [])
REQUIRED_ONLY = {
    "listen": "10.1.0.1:8080",
    "discovery": "10.1.0.2:8500",
    "settings": {
        "balancers": 1,
        "discovery": "pushed",
        "profiles": [{"name": "query", "service-goal": 1, "hard-limit": 2, "semantics": "idempotent"}],
        "caps": {"most-hops": 1},
        "contract": {"cold-share": 0.5, "cold": 1, "fall-multiple": 3},
    },
}
VARIABLES: dict[str, dict[str, str]] = {
    "none": {},
    "PROXY_NAME": {"PROXY_NAME": "other"},
    "PROXY_LISTEN": {"PROXY_LISTEN": "10.9.0.1:81"},
    "PROXY_LISTEN bad": {"PROXY_LISTEN": "localhost:81"},
    "PROXY_DISCOVERY": {"PROXY_DISCOVERY": "10.9.0.2:82"},
    "PROXY_DISCOVERY bad": {"PROXY_DISCOVERY": "10.9.0.2:99999"},
    "PROXY_ADMIN": {"PROXY_ADMIN": "10.9.0.3:83"},
    "PROXY_ADMIN bad": {"PROXY_ADMIN": "10.9.0.3"},
    "PROXY_FD": {"PROXY_FD": "3"},
    "PROXY_FD with TMPDIR": {"PROXY_FD": "4", "TMPDIR": "/run/balancers"},
    "PROXY_FD bad": {"PROXY_FD": "three"},
}


def profile_values(profile: RequestClass) -> dict[str, object]:
    """One request class by wire key; times are in microseconds."""
    return {
        "semantics": int(profile.effect),
        "group": int(profile.deduplication_scope),
        "dedup-window": profile.deduplication_window,
        "service-goal": profile.latency_objective,
        "hard-limit": profile.deadline,
        "revenue": profile.priority_weight,
        "tardy-revenue": profile.late_weight,
        "in-order": profile.is_ordered,
    }


def settings_values(settings: PolicySettings) -> dict[str, object]:
    """The decisions' settings by wire key; times are in microseconds."""
    values: dict[str, object] = {
        "balancers": settings.instance_count,
        "self-index": settings.instance_index,
        "tier": settings.tier,
        "locality": settings.zone,
        "tenants.allowance-per-s": list(settings.tenant_quotas),
        "excess-revenue": settings.over_quota_weight,
        "goal.whole": settings.overall_weight,
        "goal.worst-class": settings.worst_class_weight,
        "fees.cross-zone": settings.cross_zone_cost,
        "caps.most-hops": settings.max_attempts,
        "caps.may-cancel": settings.can_cancel,
        "caps.probing": settings.can_health_check,
        "caps.retry-after": settings.sends_retry_after,
        "caps.max-retry-after": settings.max_retry_after,
        "discovery is on_request": settings.polls_endpoints,
        "contract.ask-within": settings.poll_deadline,
        "contract.cold-share": settings.initial_capacity,
        "contract.cold": settings.warmup_time,
        "contract.fall-multiple": settings.warmup_multiple,
        "contract.order-pause": settings.key_pause,
        "contract.drain-binds-alone": settings.can_use_removed_endpoints,
    }
    for number, profile in enumerate(settings.request_classes):
        values |= {f"profiles[{number}].{key}": value for key, value in profile_values(profile).items()}
    return values


def node_values(node: ServerSettings) -> dict[str, object]:
    """All that a balancer on sockets goes by, by wire key; times are in microseconds."""
    return {
        "listen": list(node.listen),
        "discovery": list(node.discovery),
        "admin": list(node.admin) if node.admin else None,
        "name": node.name,
        "seed": node.seed,
        "limits.sockets": node.descriptor_limit,
        "known": node.known_endpoints,
        "log is debug": node.verbose,
        "inherited descriptor": node.listener_descriptor,
        "shared directory": node.shared_directory,
        "keys": sorted(node.present_keys),
        "settings.profiles.name": {name.decode(): index for name, index in node.class_indices.items()},
        "settings.profiles.hard-limit": list(node.class_deadlines),
        "settings.tenants.name": {name.decode(): index for name, index in node.tenant_indices.items()},
        "settings.localities": node.zone_indices,
        "settings.contract.answer-slack": node.deadline_slack,
        "settings.caps.dial-timeout": node.connect_timeout,
        "settings.caps.dial-timeout of a probe": node.health_check_timeout,
        "settings.caps.conn-idle": node.idle_reuse_time,
        "settings.caps.most-held": node.max_in_flight,
        "settings.report": list(node.report_fields),
        "settings not acted on": list(node.unsupported_keys),
        **{f"settings.{key}": value for key, value in settings_values(node.settings).items()},
    }


def read_file(
    tree: object, variables: Mapping[str, str] | None = None, reread: frozenset[str] | None = None
) -> ServerSettings:
    """The configuration that a file with this content gives; `reread`: the keys of the file in force."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "proxy.json"
        path.write_text(json.dumps(tree))
        environment = {"PROXY_CONFIG": str(path), **(variables or {})}
        try:
            if reread is not None:
                return config.reread_server_settings(environment, reread)
            return config.read_server_settings(environment)
        except ValueError as error:
            raise ValueError(str(error).replace(str(path), "FILE")) from None


def fault_of(call: Callable[[], object]) -> str:
    """The one line that tells what is wrong, or that nothing is."""
    try:
        call()
    except ValueError as error:
        return str(error)
    return "accepted"


def paths(tree: object, above: KeyPath = ()) -> Iterator[KeyPath]:
    """Each key and list item below, the tables first."""
    items: list[tuple[str | int, object]] = []
    if isinstance(tree, dict):
        items = list(tree.items())
    elif isinstance(tree, list):
        items = list(enumerate(tree))
    for key, value in items:
        yield (*above, key)
        yield from paths(value, (*above, key))


def changed(tree: object, path: KeyPath, value: object) -> object:
    """A copy with that key set to the value, or left out where the value is MISSING."""
    copied = copy.deepcopy(tree)
    place = copied
    for key in path[:-1]:
        place = place[key]
    if value == MISSING:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return copied


def produce_values() -> str:
    """What the full file leads to."""
    return as_json(node_values(read_file(json.loads(read_golden(INPUT)))))


def produce_defaults() -> str:
    """What a file with the required keys alone leads to."""
    return as_json(node_values(read_file(REQUIRED_ONLY)))


def message_in(reader: Callable[[], object]) -> str:
    """As `fault_of`, in the form that the file and the simulator share."""
    return fault_of(reader).removeprefix("FILE: ").replace("$.settings.", "$.").replace("settings.", "")


def produce_faults() -> str:
    """The message for each key that is missing or has a bad value; the simulator's too where it differs."""
    tree = json.loads(read_golden(INPUT))
    tree["settings"]["profiles"] = tree["settings"]["profiles"][:1]
    tree["settings"]["tenants"] = tree["settings"]["tenants"][:1]
    told: dict[str, dict[str, str]] = {}
    for path in paths(tree):
        messages = told[".".join(map(str, path))] = {}
        for value in (MISSING, *BAD_VALUES):
            shown = value if value == MISSING else json.dumps(value)
            bad = changed(tree, path, value)
            messages[shown] = fault_of(lambda bad=bad: read_file(bad))
            if path[0] != "settings" or len(path) == 1:
                continue
            text = json.dumps(bad["settings"]).encode()
            simulator = message_in(lambda text=text: read_policy_settings(text))
            if simulator != message_in(lambda bad=bad: read_file(bad)):
                messages[f"{shown} in the simulator"] = simulator
    return as_json(told)


def produce_reload_faults() -> str:
    """The message for each key that a running balancer's file had and the file read anew has not."""
    tree = json.loads(read_golden(INPUT))
    needed = read_file(tree).present_keys
    told = {}
    for path in paths(tree):
        name = ".".join(map(str, path))
        if name in needed:
            left_out = changed(tree, path, MISSING)
            told[name] = fault_of(lambda left_out=left_out: read_file(left_out, reread=needed))
    return as_json(told)


def produce_environment() -> str:
    """What each environment variable changes, or the message where it is bad."""
    tree = json.loads(read_golden(INPUT))
    usual = node_values(read_file(tree))
    told: dict[str, object] = {"PROXY_CONFIG missing": fault_of(lambda: config.read_server_settings({}))}
    told["PROXY_CONFIG names no file"] = fault_of(
        lambda: config.read_server_settings({"PROXY_CONFIG": "/none/proxy.json"})
    )
    for title, variables in VARIABLES.items():
        try:
            values = node_values(read_file(tree, variables))
        except ValueError as error:
            told[title] = str(error)
        else:
            told[title] = {key: value for key, value in values.items() if value != usual[key]}
    return as_json(told)


GOLDEN = {
    VALUES: produce_values,
    DEFAULTS: produce_defaults,
    FAULTS: produce_faults,
    RELOAD_FAULTS: produce_reload_faults,
    ENVIRONMENT: produce_environment,
}


@pytest.mark.parametrize("name", GOLDEN)
def test_the_platform_configuration_is_read_as_before(name: str) -> None:
    assert json.loads(GOLDEN[name]()) == json.loads(read_golden(name))


def test_the_simulator_reads_the_same_settings_as_the_sockets() -> None:
    tree = json.loads(read_golden(INPUT))
    from_wire = read_policy_settings(json.dumps(tree["settings"]).encode())
    assert settings_values(from_wire) == settings_values(read_file(tree).settings)


def test_messages_of_the_simulator_name_keys_without_the_settings_table() -> None:
    tree = json.loads(read_golden(INPUT))["settings"]
    tree["caps"]["most-hops"] = 0
    with pytest.raises(ValueError, match=r"^caps.most-hops: 0 is not between 1 and 65536$"):
        read_policy_settings(json.dumps(tree).encode())


if __name__ == "__main__":
    for golden, produce in GOLDEN.items():
        write_golden(golden, produce())
