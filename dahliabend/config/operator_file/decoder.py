"""Decoding of a parsed operator's file to typed settings; one pass finds all invalid keys and values."""

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
MIN_SIMILARITY = 0.6  # between a name and the proposed one, from 0 to 1


def suggest_spelling(name: str, known_names: Iterable[str]) -> str:
    """Return a hint with the most similar known name for a misspelt one; empty if none is similar."""
    matches = difflib.get_close_matches(name, list(known_names), 1, MIN_SIMILARITY)
    return f"; is {matches[0]!r} meant?" if matches else ""


def decode_file(source: Source) -> OperatorFile | None:
    """Decode the merged tree of a source.

    Returns:
        The settings; None if keys are unknown or missing or values malformed. These faults are added to the
        source, each with its place.
    """
    fault_count = len(source.faults)
    file = _decode_struct(OperatorFile, source.tree, (), source)
    return file if len(source.faults) == fault_count else None


def _decode_struct(struct_type: type[StructT], value: object, key: Key, source: Source) -> StructT | None:
    if not isinstance(value, dict):
        source.add_fault(key, f"{value!r} is no table")
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
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
    return struct_type(**arguments) if is_complete else None


def _decode_value(field_type: object, value: object, key: Key, source: Source) -> object:
    """Decode a value of a field's type: a union with None, a struct, a dict, a list or a scalar."""
    origin = typing.get_origin(field_type)
    arguments = typing.get_args(field_type)
    if origin in (UnionType, typing.Union):
        field_type = next(item for item in arguments if item is not NoneType)
        return _decode_value(field_type, value, key, source)
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        return _decode_struct(field_type, value, key, source)
    if origin is dict and isinstance(value, dict):
        return {name: _decode_value(arguments[1], item, (*key, name), source) for name, item in value.items()}
    if origin is list and isinstance(value, list):
        item_type = arguments[0]
        return [_decode_value(item_type, item, (*key, number), source) for number, item in enumerate(value)]
    return _decode_scalar(field_type, value, key, source)


def _decode_scalar(field_type: object, value: object, key: Key, source: Source) -> object:
    try:
        return msgspec.convert(value, field_type, dec_hook=units.decode_unit)
    except ValueError as error:  # the base class of msgspec's errors, too
        reason = str(error)
    if typing.get_origin(field_type) is typing.Literal:
        choices = typing.get_args(field_type)
        reason = (
            f"{value!r} is none of {', '.join(map(repr, choices))}{suggest_spelling(str(value), choices)}"
        )
    source.add_fault(key, reason)
    return None
