"""Checks of single values that several tables share."""

from collections.abc import Iterable

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.decoder import suggest_spelling
from dahliabend.config.operator_file.schema import TreatmentSettings
from dahliabend.config.operator_file.source import Key, Source
from dahliabend.routing_rules.treatment import key_of_field

MAX_ATTEMPTS = 64
POSITIVE_TREATMENT_FIELDS = (
    "attempt_timeout",
    "total_time",
    "second_copy_after",
    "concurrency",
    "rate",
    "burst",
)


def check_address(text: str, key: Key, source: Source) -> None:
    """An address and port."""
    try:
        parse_address(text)
    except ValueError as error:
        source.add_fault(key, str(error))


def check_positive(table: object, fields: Iterable[str], key: Key, source: Source) -> None:
    """Fields that are left out or above 0."""
    for name in fields:
        value = getattr(table, name)
        if value is not None and value <= 0:
            source.add_fault((*key, key_of_field(name)), f"{value} is not above 0")


def check_treatment_values(table: TreatmentSettings, key: Key, source: Source) -> None:
    """Bounds that hold in every table with a treatment of requests."""
    check_positive(table, POSITIVE_TREATMENT_FIELDS, key, source)
    if table.attempts is not None and not 1 <= table.attempts <= MAX_ATTEMPTS:
        source.add_fault((*key, "attempts"), f"{table.attempts} is not between 1 and {MAX_ATTEMPTS}")
    if table.replays is not None and table.replays < 0:
        source.add_fault((*key, "replays"), f"{table.replays} is below 0")


def is_known(name: str, known: Iterable[str], what: str, key: Key, source: Source) -> bool:
    """Whether a name is one of those that the file has; if not, that is a fault.

    Args:
        name: The value of the key.
        known: All names that exist.
        what: What is named, for the fault.
        key: Of the name, for the fault.
        source: For the fault.
    """
    names = list(known)
    if name in names:
        return True
    source.add_fault(key, f"there is no {what} {name!r}{suggest_spelling(name, names)}")
    return False
