"""Reading of the platform's configuration: a JSON file whose values environment variables override.

Every error names the file and the invalid key in one line.
"""

import os
from collections.abc import Mapping
from typing import Any

import msgspec

from dahliabend.config.address import parse_address
from dahliabend.config.platform_schema import LoadReportSection, PlatformFile
from dahliabend.config.policy_settings import DEDUPLICATED, check_range, make_policy_settings, to_microseconds
from dahliabend.config.present_keys import entry_key, missing_keys, present_keys
from dahliabend.config.server_settings import IDLE_REUSE_RATIO, ServerSettings
from dahliabend.errors import ConfigurationError
from dahliabend.model import Idempotency, PolicySettings
from dahliabend.transport import host_info

DEFAULT_NAME = "dahliabend"
LOG_LEVELS = ("info", "debug")
MIN_DESCRIPTORS = 64
MAX_DESCRIPTORS = 1 << 20
MEGABYTE = 1 << 20
MIN_MEMORY_MB = 1
MAX_MEMORY_MB = 1 << 20
MAX_SETTING = 1e9  # upper bound of times in milliseconds and of the number of requests in flight
MAX_DESCRIPTOR_DIGITS = 9  # of the descriptor number in PROXY_FD
HEALTH_CHECK_REPORT_SOURCE = "on_probe"
PROFILES_KEY = "settings.profiles"
DEDUPLICATION_KEYS = ("group", "dedup-window")  # of a request class


def read_server_settings(
    environment: Mapping[str, str], previous: ServerSettings | None = None
) -> ServerSettings:
    """Read the file that PROXY_CONFIG names; environment variables override its values.

    Args:
        environment: The environment variables of this process.
        previous: The settings of the file in force, which the file replaces; None at the start.

    Raises:
        ConfigurationError: The file cannot be read, or a value is invalid.
    """
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigurationError("PROXY_CONFIG", "not set; it names the configuration file")
    try:
        text = host_info.read_file(path)
    except OSError as error:
        raise ConfigurationError("PROXY_CONFIG", f"{path}: {error.strerror}") from None
    try:
        return _parse_file(text, environment, previous)
    except ConfigurationError as error:
        raise ConfigurationError(error.key, error.reason, path) from None
    except ValueError as error:  # of msgspec, whose message names the key
        raise ConfigurationError("", str(error), path) from None


def reread_server_settings(environment: Mapping[str, str], previous: ServerSettings) -> ServerSettings:
    """Read the file again for a reload.

    PROXY_DISCOVERY is ignored, because it still has the address from the start of the process. The file has
    to contain every key of the file in force, except those of request classes and tenants that it removes: if
    one was removed by mistake, its default would be applied unnoticed.

    Args:
        environment: The environment variables of this process.
        previous: The settings of the file in force.

    Raises:
        ConfigurationError: The file cannot be read, or a value is invalid.
    """
    return read_server_settings({**environment, "PROXY_DISCOVERY": ""}, previous)


def _parse_file(
    text: bytes, environment: Mapping[str, str], previous: ServerSettings | None
) -> ServerSettings:
    tree = msgspec.json.decode(text)
    file = msgspec.convert(tree, PlatformFile)
    keys = present_keys(tree)
    if previous is not None:
        _check_required_keys(keys, previous)
    policy_settings = make_policy_settings(file.settings, "settings.")
    _check_numbers(file)
    _check_profiles(file)
    _check_tenants(file)
    if previous is not None:
        _check_new_deduplication(file, keys, previous)
    _check_known_endpoints(file.known_endpoints)
    if file.log_level not in LOG_LEVELS:
        raise ConfigurationError("log", f"{file.log_level!r} is neither info nor debug")
    return _make_server_settings(file, environment, policy_settings, keys)


def _check_required_keys(keys: frozenset[str], previous: ServerSettings) -> None:
    missing = missing_keys(previous.present_keys, keys)
    if missing:
        raise ConfigurationError(missing[0], "missing")


def _check_new_deduplication(file: PlatformFile, keys: frozenset[str], previous: ServerSettings) -> None:
    """Check that a class that becomes deduplicated says where and for how long repeats are dropped."""
    for profile in file.settings.profiles:
        if profile.effect != DEDUPLICATED or _is_deduplicated(previous, profile.name):
            continue
        for name in DEDUPLICATION_KEYS:
            key = f"{entry_key(PROFILES_KEY, profile.name)}.{name}"
            if key not in keys:
                raise ConfigurationError(key, "missing from a class that becomes deduplicated")


def _is_deduplicated(settings: ServerSettings, class_name: str) -> bool:
    index = settings.class_indices.get(class_name.encode())
    if index is None:
        return False
    return settings.settings.request_classes[index].effect is Idempotency.DEDUPLICATED


def _make_server_settings(
    file: PlatformFile,
    environment: Mapping[str, str],
    policy_settings: PolicySettings,
    keys: frozenset[str],
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
        memory_limit=round(file.limits.memory_mb * MEGABYTE),
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
        present_keys=keys,
        monotonic_offset=host_info.monotonic_ns() // 1000 - host_info.time_ns() // 1000,
    )


def _overridden(text: str, environment: Mapping[str, str], variable: str) -> str:
    """Return the value of an environment variable, or the file's value if the variable is unset or empty."""
    return environment.get(variable) or text


def _check_numbers(file: PlatformFile) -> None:
    capabilities = file.settings.capabilities
    check_range("limits.sockets", file.limits.descriptors, MIN_DESCRIPTORS, MAX_DESCRIPTORS)
    check_range("limits.memory_mb", file.limits.memory_mb, MIN_MEMORY_MB, MAX_MEMORY_MB)
    check_range("settings.caps.conn-idle", capabilities.idle_timeout, 1, MAX_SETTING)
    check_range("settings.caps.dial-timeout", capabilities.connect_timeout, 1, MAX_SETTING)
    check_range("settings.caps.most-held", capabilities.max_in_flight, 1, MAX_SETTING)


def _check_profiles(file: PlatformFile) -> None:
    names: set[str] = set()
    for number, profile in enumerate(file.settings.profiles):
        key = f"{PROFILES_KEY}[{number}]"
        if not profile.name or profile.name in names:
            raise ConfigurationError(f"{key}.name", f"{profile.name!r} is empty or used before")
        if profile.is_stream:
            raise ConfigurationError(f"{key}.stream", "streams are not supported")
        names.add(profile.name)


def _check_tenants(file: PlatformFile) -> None:
    names: set[str] = set()
    for number, tenant in enumerate(file.settings.tenants):
        if not tenant.name or tenant.name in names:
            key = f"settings.tenants[{number}].name"
            raise ConfigurationError(key, f"{tenant.name!r} is empty or used before")
        names.add(tenant.name)


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
    """Return the number of the clients' listening socket in PROXY_FD; None if the platform passes none."""
    text = environment.get("PROXY_FD", "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigurationError("PROXY_FD", f"{text!r} is no descriptor's number")
    return int(text)


def _shared_directory(environment: Mapping[str, str]) -> str:
    return os.path.join(environment.get("TMPDIR") or "/tmp", "dahliabend")


def _report_fields(section: LoadReportSection) -> tuple[str, ...]:
    """Return the fields of load reports in health check responses; reports of other sources are ignored."""
    return tuple(section.fields) if section.source == HEALTH_CHECK_REPORT_SOURCE else ()


def _unsupported_keys(file: PlatformFile) -> tuple[str, ...]:
    """Return the keys of settings that enable features which a running balancer does not have."""
    capabilities = file.settings.capabilities
    enabled = {
        "caps.max-streams": capabilities.max_streams > 1,
        "caps.may-tell": capabilities.sends_to_peers,
    }
    return tuple(key for key, is_enabled in enabled.items() if is_enabled)


def _parse_address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigurationError(key, str(error)) from None
