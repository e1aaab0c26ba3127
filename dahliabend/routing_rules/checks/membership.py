"""Checks of `[members]`: the balancers among themselves."""

from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.config.operator_file.source import Key, Source
from dahliabend.config.operator_file.units import Duration
from dahliabend.routing_rules.checks.common import check_address

MAX_NAME_BYTES = 64
MIN_KEY_BYTES = 32
MAX_WEIGHT = 1e6
MIN_PERIOD = Duration(20_000)
MAX_PERIOD = Duration(60_000_000)
MIN_CHECK_INTERVAL = Duration(4_000_000)  # eight intervals of gossip: a result has to reach all
MIN_FORGET_PERIODS = 100
MAX_KEY_FILES = 2  # one, or two while a key is replaced

_KEY: Key = ("members",)


def check_membership(members: MembershipSettings, source: Source) -> None:
    """Check the complete table."""
    _check_addresses(members, source)
    _check_names(members, source)
    _check_numbers(members, source)
    _check_shared_health_checks(members, source)
    _check_key_files(members, source)


def _check_addresses(members: MembershipSettings, source: Source) -> None:
    addresses = {
        "address": members.address,
        "advertise": members.advertise,
        "seeds-discovery": members.seeds_discovery,
    }
    for name, text in addresses.items():
        if text is not None:
            check_address(text, (*_KEY, name), source)
    for number, seed in enumerate(members.seeds):
        check_address(seed, (*_KEY, "seeds", number), source)


def _check_names(members: MembershipSettings, source: Source) -> None:
    reason = f"is not between 1 and {MAX_NAME_BYTES} bytes long"
    if members.name is not None and not 1 <= len(members.name.encode()) <= MAX_NAME_BYTES:
        source.add_fault((*_KEY, "name"), f"{members.name!r} {reason}")
    if len(members.zone.encode()) > MAX_NAME_BYTES:
        source.add_fault((*_KEY, "zone"), f"{members.zone!r} {reason}")


def _check_numbers(members: MembershipSettings, source: Source) -> None:
    if not 0 < members.weight < MAX_WEIGHT:
        source.add_fault((*_KEY, "weight"), f"{members.weight:g} is not between 0 and {MAX_WEIGHT:g}")
    if not MIN_PERIOD <= members.period <= MAX_PERIOD:
        source.add_fault((*_KEY, "period"), f"{members.period} is not between {MIN_PERIOD} and {MAX_PERIOD}")
    if members.forget < MIN_FORGET_PERIODS * members.period:
        source.add_fault((*_KEY, "forget"), f"{members.forget} is less than a hundred periods")
    if not 0 < members.cut < 1:
        source.add_fault((*_KEY, "cut"), f"{members.cut} is not between 0 and 1")


def _check_shared_health_checks(members: MembershipSettings, source: Source) -> None:
    if not members.probing:
        return
    key = (*_KEY, "probing")
    if not members.signals:
        source.add_fault(key, "wants signals = true: by these the others hear what came of it")
    if not MIN_CHECK_INTERVAL <= members.probing <= MAX_PERIOD:
        source.add_fault(key, f"{members.probing} is not between {MIN_CHECK_INTERVAL} and {MAX_PERIOD}")


def _check_key_files(members: MembershipSettings, source: Source) -> None:
    key = (*_KEY, "key-files")
    count = len(members.key_files)
    if not 1 <= count <= MAX_KEY_FILES:
        source.add_fault(key, f"names {count} files: one, or two while a key is replaced")
    for number, name in enumerate(members.key_files):
        try:
            length = len(source.read_file(source.resolve_path(name)).strip())
        except OSError as error:
            source.add_fault((*key, number), f"{name} can't be read: {error.strerror or error}")
            continue
        if length < MIN_KEY_BYTES:
            source.add_fault((*key, number), f"{name}: {length} bytes; a key has {MIN_KEY_BYTES} at least")
