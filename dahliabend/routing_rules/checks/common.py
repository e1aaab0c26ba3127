"""Checks of single values, used for several tables."""

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
    """Check that a value is an address with a port."""
    try:
        parse_address(text)
    except ValueError as error:
        source.add_fault(key, str(error))


def check_positive(table: object, fields: Iterable[str], key: Key, source: Source) -> None:
    """Check that fields of a table are above 0 if they are set."""
    for name in fields:
        value = getattr(table, name)
        if value is not None and value <= 0:
            source.add_fault((*key, key_of_field(name)), f"{value} is not above 0")


def check_treatment_values(table: TreatmentSettings, key: Key, source: Source) -> None:
    """Check the bounds of timeouts, retries and limits that hold in every table that can set them."""
    check_positive(table, POSITIVE_TREATMENT_FIELDS, key, source)
    if table.attempts is not None and not 1 <= table.attempts <= MAX_ATTEMPTS:
        source.add_fault((*key, "attempts"), f"{table.attempts} is not between 1 and {MAX_ATTEMPTS}")
    if table.replays is not None and table.replays < 0:
        source.add_fault((*key, "replays"), f"{table.replays} is below 0")


def check_reference(name: str, defined: Iterable[str], noun: str, key: Key, source: Source) -> bool:
    """Check that a name refers to something that the file defines; if not, add a fault.

    Args:
        name: The name, which is the value of the key.
        defined: All names that the file defines.
        noun: What the name refers to, for the message of the fault.
        key: The key that the fault is added at.
        source: The source that the fault is added to.

    Returns:
        Whether the name is defined.
    """
    names = list(defined)
    if name in names:
        return True
    source.add_fault(key, f"there is no {noun} {name!r}{suggest_spelling(name, names)}")
    return False
