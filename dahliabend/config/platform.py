"""The platform's configuration of a balancer on sockets: a JSON file, overridden by the environment.

Every error names the file and the key at fault in one line.
"""

import os
from collections.abc import Mapping
from typing import Any

import msgspec

from dahliabend.config.address import parse_address
from dahliabend.config.platform_schema import LoadReportSection, PlatformFile
from dahliabend.config.policy_settings import check_range, make_policy_settings, to_microseconds
from dahliabend.config.server_settings import IDLE_REUSE_RATIO, ServerSettings
from dahliabend.errors import ConfigurationError
from dahliabend.model import PolicySettings
from dahliabend.transport import host_info

DEFAULT_NAME = "dahliabend"
LOG_LEVELS = ("info", "debug")
MIN_DESCRIPTORS = 64
MAX_DESCRIPTORS = 1 << 20
MAX_SETTING = 1e9  # of a time in milliseconds, of requests in flight
MAX_DESCRIPTOR_DIGITS = 9  # of PROXY_FD
REPORTS_IN_HEALTH_CHECKS = "on_probe"


def read_server_settings(
    environment: Mapping[str, str], required_keys: frozenset[str] = frozenset()
) -> ServerSettings:
    """Read the file that PROXY_CONFIG names; environment variables override its values.

    Args:
        environment: The variables of this process.
        required_keys: Dotted keys that the file has to name.

    Raises:
        ConfigurationError: The file cannot be read, or a value cannot be used.
    """
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigurationError("PROXY_CONFIG", "not set; it names the configuration file")
    try:
        text = host_info.read_file(path)
    except OSError as error:
        raise ConfigurationError("PROXY_CONFIG", f"{path}: {error.strerror}") from None
    try:
        return _parse_file(text, environment, required_keys)
    except ConfigurationError as error:
        raise ConfigurationError(error.key, error.reason, path) from None
    except ValueError as error:  # of msgspec, which names the place in its text
        raise ConfigurationError("", str(error), path) from None


def reread_server_settings(environment: Mapping[str, str], required_keys: frozenset[str]) -> ServerSettings:
    """Read the file once more, while running.

    Its discovery address overrides the environment variable, which still names the one of the start. A key
    that the file in force has may not be missing: if it was removed by mistake, its default would be applied
    unnoticed.

    Args:
        environment: The variables of this process.
        required_keys: Dotted keys that the file in force names.

    Raises:
        ConfigurationError: The file cannot be read, or a value cannot be used.
    """
    return read_server_settings({**environment, "PROXY_DISCOVERY": ""}, required_keys)


def _parse_file(text: bytes, environment: Mapping[str, str], required_keys: frozenset[str]) -> ServerSettings:
    tree = msgspec.json.decode(text)
    file = msgspec.convert(tree, PlatformFile)
    named_keys = _named_keys(tree)
    missing_keys = sorted(required_keys - named_keys)
    if missing_keys:
        raise ConfigurationError(missing_keys[0], "missing")
    policy_settings = make_policy_settings(file.settings, "settings.")
    _check_numbers(file)
    _check_profiles(file)
    _check_known_endpoints(file.known_endpoints)
    if file.log_level not in LOG_LEVELS:
        raise ConfigurationError("log", f"{file.log_level!r} is neither info nor debug")
    return _make_server_settings(file, environment, policy_settings, named_keys)


def _make_server_settings(
    file: PlatformFile,
    environment: Mapping[str, str],
    policy_settings: PolicySettings,
    named_keys: frozenset[str],
) -> ServerSettings:
    seed = _parse_seed(file.seed)
    descriptor = _inherited_descriptor(environment)
    admin = _overridden(file.admin, environment, "PROXY_ADMIN")
    section = file.settings
    connect_timeout = to_microseconds(section.capabilities.connect_timeout)
    idle_timeout = to_microseconds(section.capabilities.idle_timeout)
    return ServerSettings(
        name=_overridden(file.name, environment, "PROXY_NAME") or DEFAULT_NAME,
        listen=_parse_address("listen", _overridden(file.listen, environment, "PROXY_LISTEN")),
        discovery=_parse_address("discovery", _overridden(file.discovery, environment, "PROXY_DISCOVERY")),
        admin=_parse_address("admin", admin) if admin else None,
        listener_descriptor=descriptor,
        shared_directory="" if descriptor is None else _shared_directory(environment),
        seed=seed,
        descriptor_limit=file.limits.descriptors,
        known_endpoints=file.known_endpoints,
        verbose=file.log_level == "debug",
        settings=policy_settings,
        class_indices={profile.name.encode(): index for index, profile in enumerate(section.profiles)},
        tenant_indices={tenant.name.encode(): index for index, tenant in enumerate(section.tenants)},
        zone_indices={name: index for index, name in enumerate(section.zones)},
        class_deadlines=tuple(each.deadline for each in policy_settings.request_classes),
        deadline_slack=to_microseconds(section.contract.deadline_slack),
        connect_timeout=connect_timeout,
        idle_reuse_time=round(idle_timeout * IDLE_REUSE_RATIO),
        health_check_timeout=2 * connect_timeout,
        max_in_flight=section.capabilities.max_in_flight,
        report_fields=_report_fields(section.load_report),
        unsupported_keys=_unsupported_keys(file),
        named_keys=named_keys,
        monotonic_offset=host_info.monotonic_ns() // 1000 - host_info.time_ns() // 1000,
    )


def _overridden(text: str, environment: Mapping[str, str], variable: str) -> str:
    """The value of an environment variable, or else of the file."""
    return environment.get(variable) or text


def _named_keys(tree: dict[str, Any]) -> frozenset[str]:
    """Dotted keys that a file names: its own, those in its settings, and those in their tables.

    >>> sorted(_named_keys({"listen": "", "settings": {"caps": {"most-hops": 1}, "fees": {}}}))
    ['listen', 'settings', 'settings.caps', 'settings.caps.most-hops', 'settings.fees']
    """
    settings = tree.get("settings") or {}
    tables = {"": tree, "settings.": settings}
    for name, value in settings.items():
        if isinstance(value, dict):
            tables[f"settings.{name}."] = value
    return frozenset(prefix + name for prefix, table in tables.items() for name in table)


def _check_numbers(file: PlatformFile) -> None:
    capabilities = file.settings.capabilities
    check_range("limits.sockets", file.limits.descriptors, MIN_DESCRIPTORS, MAX_DESCRIPTORS)
    check_range("settings.caps.conn-idle", capabilities.idle_timeout, 1, MAX_SETTING)
    check_range("settings.caps.dial-timeout", capabilities.connect_timeout, 1, MAX_SETTING)
    check_range("settings.caps.most-held", capabilities.max_in_flight, 1, MAX_SETTING)


def _check_profiles(file: PlatformFile) -> None:
    names: set[str] = set()
    for number, profile in enumerate(file.settings.profiles):
        key = f"settings.profiles[{number}]"
        if not profile.name or profile.name in names:
            raise ConfigurationError(f"{key}.name", f"{profile.name!r} is empty or used before")
        if profile.is_stream:
            raise ConfigurationError(f"{key}.stream", "no streams on sockets")
        names.add(profile.name)


def _check_known_endpoints(known_endpoints: dict[str, Any]) -> None:
    if known_endpoints and not isinstance(known_endpoints.get("version"), int):
        raise ConfigurationError("known.version", "missing, or no whole number")
    if not isinstance(known_endpoints.get("servers", []), list):
        raise ConfigurationError("known.servers", "no list")


def _parse_seed(text: str) -> int:
    try:
        return int(text or "0", 16)
    except ValueError:
        raise ConfigurationError("seed", f"{text!r} is no hexadecimal number") from None


def _inherited_descriptor(environment: Mapping[str, str]) -> int | None:
    """The clients' listener, where the platform holds it."""
    text = environment.get("PROXY_FD", "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigurationError("PROXY_FD", f"{text!r} is no descriptor's number")
    return int(text)


def _shared_directory(environment: Mapping[str, str]) -> str:
    return os.path.join(environment.get("TMPDIR") or "/tmp", "dahliabend")


def _report_fields(section: LoadReportSection) -> tuple[str, ...]:
    """The figures that health checks bring; load reports of other sources are not read."""
    return tuple(section.fields) if section.source == REPORTS_IN_HEALTH_CHECKS else ()


def _unsupported_keys(file: PlatformFile) -> tuple[str, ...]:
    """Keys of settings that allow what this program does not do on sockets."""
    capabilities = file.settings.capabilities
    allowed = {
        "caps.max-streams": capabilities.max_streams > 1,
        "caps.may-tell": capabilities.sends_to_peers,
    }
    return tuple(key for key, is_allowed in allowed.items() if is_allowed)


def _parse_address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigurationError(key, str(error)) from None
