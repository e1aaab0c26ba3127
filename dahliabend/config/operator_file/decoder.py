"""From a tree with places to typed settings: every fault of form, each with its place, in one go."""

import difflib
import typing
from types import NoneType, UnionType

import msgspec

from dahliabend.config.operator_file import units
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import Key, Source


def nearest(name: str, among) -> str:
    """A hint for a name that is not known; empty where nothing is near."""
    close = difflib.get_close_matches(name, list(among), 1, 0.6)
    return f"; is {close[0]!r} meant?" if close else ""


def read(source: Source) -> OperatorFile | None:
    """None where faults of form were found: they are in the source."""
    before = len(source.faults)
    made = _struct(OperatorFile, source.tree, (), source)
    return made if len(source.faults) == before else None


def _struct(kind, value, key: Key, source: Source):
    if not isinstance(value, dict):
        source.fault(key, f"{value!r} is no table")
        return None
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in value:
        if name not in fields:
            source.fault((*key, name), f"is no key here{nearest(name, fields)}")
    made = {}
    for name, field in fields.items():
        if name in value:
            made[field.name] = _value(field.type, value[name], (*key, name), source)
        elif field.required:
            source.fault(key, f"{name} is missing")
    missing = any(field.required and field.name not in made for field in fields.values())
    return None if missing else kind(**made)


def _value(kind, value, key: Key, source: Source):
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (UnionType, typing.Union):
        kind = next(each for each in arguments if each is not NoneType)
        return _value(kind, value, key, source)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _struct(kind, value, key, source)
    if origin is dict and isinstance(value, dict):
        return {name: _value(arguments[1], each, (*key, name), source) for name, each in value.items()}
    if origin is list and isinstance(value, list):
        return [_value(arguments[0], each, (*key, number), source) for number, each in enumerate(value)]
    try:
        return msgspec.convert(value, kind, dec_hook=units.decode_unit)
    except ValueError as error:  # msgspec's errors are a kind of it
        source.fault(key, _reason(str(error), value, origin, arguments))
        return None


def _reason(text: str, value, origin, arguments) -> str:
    if origin is typing.Literal:
        return f"{value!r} is none of {', '.join(map(repr, arguments))}{nearest(str(value), arguments)}"
    return text
