"""From a tree with places to typed settings: every fault of form, each with its place, in one pass."""

import difflib
import typing
from collections.abc import Iterable
from types import NoneType, UnionType
from typing import TypeVar

import msgspec

from dahliabend.config.operator_file import units
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Key, Source

StructT = TypeVar("StructT", bound=msgspec.Struct)
MIN_SIMILARITY = 0.6  # of a name that a hint proposes, from 0 to 1


def suggest_spelling(name: str, known: Iterable[str]) -> str:
    """A hint for a name that is not known; empty where no known name is similar."""
    close = difflib.get_close_matches(name, list(known), 1, MIN_SIMILARITY)
    return f"; is {close[0]!r} meant?" if close else ""


def decode_file(source: Source) -> OperatorFile | None:
    """Decode a tree into settings.

    Returns:
        The settings; None if there are faults of form, which are added to the source.
    """
    fault_count = len(source.faults)
    file = _decode_struct(OperatorFile, source.tree, (), source)
    return file if len(source.faults) == fault_count else None


def _decode_struct(kind: type[StructT], value: object, key: Key, source: Source) -> StructT | None:
    if not isinstance(value, dict):
        source.add_fault(key, f"{value!r} is no table")
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            source.add_fault((*key, name), f"is no key here{suggest_spelling(name, fields)}")
    arguments = {}
    is_complete = True
    for name, field in fields.items():
        if name in value:
            arguments[field.name] = _decode_value(field.type, value[name], (*key, name), source)
        elif field.required:
            source.add_fault(key, f"{name} is missing")
            is_complete = False
    return kind(**arguments) if is_complete else None


def _decode_value(kind: object, value: object, key: Key, source: Source) -> object:
    """Decode a value of an annotated type: a union with None, a struct, a dict, a list or a plain value."""
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin in (UnionType, typing.Union):
        kind = next(each for each in arguments if each is not NoneType)
        return _decode_value(kind, value, key, source)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _decode_struct(kind, value, key, source)
    if origin is dict and isinstance(value, dict):
        return {name: _decode_value(arguments[1], each, (*key, name), source) for name, each in value.items()}
    if origin is list and isinstance(value, list):
        item_kind = arguments[0]
        return [_decode_value(item_kind, each, (*key, number), source) for number, each in enumerate(value)]
    return _decode_plain(kind, value, key, source)


def _decode_plain(kind: object, value: object, key: Key, source: Source) -> object:
    try:
        return msgspec.convert(value, kind, dec_hook=units.decode_unit)
    except ValueError as error:  # msgspec's errors are a kind of it
        reason = str(error)
    if typing.get_origin(kind) is typing.Literal:
        choices = typing.get_args(kind)
        reason = (
            f"{value!r} is none of {', '.join(map(repr, choices))}{suggest_spelling(str(value), choices)}"
        )
    source.add_fault(key, reason)
    return None
