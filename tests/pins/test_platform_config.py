"""The platform's JSON configuration: the setting that each key sets, and the message for each invalid key."""

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


def request_class_values(request_class: RequestClass) -> dict[str, object]:
    """Return the settings of a request class by configuration key; times are in microseconds."""
    return {
        "semantics": int(request_class.effect),
        "group": int(request_class.deduplication_scope),
        "dedup-window": request_class.deduplication_window,
        "service-goal": request_class.latency_objective,
        "hard-limit": request_class.deadline,
        "revenue": request_class.priority_weight,
        "tardy-revenue": request_class.late_weight,
        "in-order": request_class.is_ordered,
    }


def policy_values(settings: PolicySettings) -> dict[str, object]:
    """Return the settings of the policy by configuration key; times are in microseconds."""
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
    for number, request_class in enumerate(settings.request_classes):
        class_values = request_class_values(request_class)
        values |= {f"profiles[{number}].{key}": value for key, value in class_values.items()}
    return values


def server_values(settings: ServerSettings) -> dict[str, object]:
    """Return all settings of a balancer on sockets by configuration key; times are in microseconds."""
    return {
        "listen": list(settings.listen),
        "discovery": list(settings.discovery),
        "admin": list(settings.admin) if settings.admin else None,
        "name": settings.name,
        "seed": settings.seed,
        "limits.sockets": settings.descriptor_limit,
        "known": settings.known_endpoints,
        "log is debug": settings.verbose,
        "inherited descriptor": settings.listener_descriptor,
        "shared directory": settings.shared_directory,
        "keys": sorted(settings.present_keys),
        "settings.profiles.name": {name.decode(): index for name, index in settings.class_indices.items()},
        "settings.profiles.hard-limit": list(settings.class_deadlines),
        "settings.tenants.name": {name.decode(): index for name, index in settings.tenant_indices.items()},
        "settings.localities": settings.zone_indices,
        "settings.contract.answer-slack": settings.deadline_slack,
        "settings.caps.dial-timeout": settings.connect_timeout,
        "settings.caps.dial-timeout of a probe": settings.health_check_timeout,
        "settings.caps.conn-idle": settings.idle_reuse_time,
        "settings.caps.most-held": settings.max_in_flight,
        "settings.report": list(settings.report_fields),
        "settings not acted on": list(settings.unsupported_keys),
        **{f"settings.{key}": value for key, value in policy_values(settings.settings).items()},
    }


def read_file(
    tree: object, variables: Mapping[str, str] | None = None, previous: ServerSettings | None = None
) -> ServerSettings:
    """Read a configuration file with this content; `previous` has the settings in force at a reload."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "proxy.json"
        path.write_text(json.dumps(tree))
        environment = {"PROXY_CONFIG": str(path), **(variables or {})}
        try:
            if previous is not None:
                return config.reread_server_settings(environment, previous)
            return config.read_server_settings(environment)
        except ValueError as error:
            raise ValueError(str(error).replace(str(path), "FILE")) from None


def message_of(call: Callable[[], object]) -> str:
    """Return the message of the error that a call raises, or `accepted`."""
    try:
        call()
    except ValueError as error:
        return str(error)
    return "accepted"


def paths(tree: object, above: KeyPath = ()) -> Iterator[KeyPath]:
    """Yield the path of each key and list item, each table before its keys."""
    items: list[tuple[str | int, object]] = []
    if isinstance(tree, dict):
        items = list(tree.items())
    elif isinstance(tree, list):
        items = list(enumerate(tree))
    for key, value in items:
        yield (*above, key)
        yield from paths(value, (*above, key))


def with_value(tree: object, path: KeyPath, value: object) -> object:
    """Return a copy with a key set to a value, or without the key if the value is `MISSING`."""
    copied = copy.deepcopy(tree)
    container = copied
    for key in path[:-1]:
        container = container[key]
    if value == MISSING:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return copied


def produce_values() -> str:
    """Return the settings of a file with all keys."""
    return as_json(server_values(read_file(json.loads(read_golden(INPUT)))))


def produce_defaults() -> str:
    """Return the settings of a file with only the required keys."""
    return as_json(server_values(read_file(REQUIRED_ONLY)))


def common_message_of(call: Callable[[], object]) -> str:
    """Return the message without the file name and the `settings` table, as the simulator has it."""
    return message_of(call).removeprefix("FILE: ").replace("$.settings.", "$.").replace("settings.", "")


def produce_faults() -> str:
    """Return the message for each missing key and invalid value, also the simulator's if it differs."""
    tree = json.loads(read_golden(INPUT))
    tree["settings"]["profiles"] = tree["settings"]["profiles"][:1]
    tree["settings"]["tenants"] = tree["settings"]["tenants"][:1]
    messages_by_key: dict[str, dict[str, str]] = {}
    for path in paths(tree):
        messages = messages_by_key[".".join(map(str, path))] = {}
        for value in (MISSING, *BAD_VALUES):
            value_text = value if value == MISSING else json.dumps(value)
            bad = with_value(tree, path, value)
            messages[value_text] = message_of(lambda bad=bad: read_file(bad))
            if path[0] != "settings" or len(path) == 1:
                continue
            text = json.dumps(bad["settings"]).encode()
            simulator_message = common_message_of(lambda text=text: read_policy_settings(text))
            if simulator_message != common_message_of(lambda bad=bad: read_file(bad)):
                messages[f"{value_text} in the simulator"] = simulator_message
    return as_json(messages_by_key)


def produce_reload_faults() -> str:
    """Return the message for each key that is missing from a reloaded file but was in the previous one."""
    tree = json.loads(read_golden(INPUT))
    previous = read_file(tree)
    messages = {}
    for path in paths(tree):
        if isinstance(path[-1], str):
            without_key = with_value(tree, path, MISSING)
            messages[".".join(map(str, path))] = message_of(
                lambda without_key=without_key: read_file(without_key, previous=previous)
            )
    return as_json(messages)


def produce_environment() -> str:
    """Return the settings that each environment variable changes, or the message if it is invalid."""
    tree = json.loads(read_golden(INPUT))
    default_values = server_values(read_file(tree))
    effects: dict[str, object] = {"PROXY_CONFIG missing": message_of(lambda: config.read_server_settings({}))}
    effects["PROXY_CONFIG names no file"] = message_of(
        lambda: config.read_server_settings({"PROXY_CONFIG": "/none/proxy.json"})
    )
    for title, variables in VARIABLES.items():
        try:
            values = server_values(read_file(tree, variables))
        except ValueError as error:
            effects[title] = str(error)
        else:
            effects[title] = {key: value for key, value in values.items() if value != default_values[key]}
    return as_json(effects)


GOLDEN = {
    VALUES: produce_values,
    DEFAULTS: produce_defaults,
    FAULTS: produce_faults,
    RELOAD_FAULTS: produce_reload_faults,
    ENVIRONMENT: produce_environment,
}


@pytest.mark.parametrize("name", GOLDEN)
def test_settings_and_messages_equal_the_golden_files(name: str) -> None:
    assert json.loads(GOLDEN[name]()) == json.loads(read_golden(name))


def test_simulator_and_configuration_file_lead_to_the_same_settings() -> None:
    tree = json.loads(read_golden(INPUT))
    simulator_settings = read_policy_settings(json.dumps(tree["settings"]).encode())
    assert policy_values(simulator_settings) == policy_values(read_file(tree).settings)


def test_messages_of_the_simulator_have_keys_without_the_settings_table() -> None:
    tree = json.loads(read_golden(INPUT))["settings"]
    tree["caps"]["most-hops"] = 0
    with pytest.raises(ValueError, match=r"^caps.most-hops: 0 is not between 1 and 65536$"):
        read_policy_settings(json.dumps(tree).encode())


if __name__ == "__main__":
    for golden, produce in GOLDEN.items():
        write_golden(golden, produce())
