"""The stored form of scenarios and cluster scripts: TOML or JSON, typed, with spans of time as text.

A span of time has its unit ("250ms", "1.5s", "1us"); unknown keys are rejected with their path.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from dahliabend.config.operator_file import units
from dahliabend.config.operator_file.units import Duration


def stored_keys(keys: Mapping[str, str]) -> Callable[[str], str]:
    """What renames fields to stored keys: to those given, and else to the field's name in kebab case."""
    return lambda field: keys.get(field, field.replace("_", "-"))


class Table(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, omit_defaults=True):
    """A table of a file: keys in kebab case, unknown ones rejected."""


Value = TypeVar("Value", bound=Table)


@dataclass(frozen=True, slots=True)
class FileFormat(Generic[Value]):
    """Files that hold one value of a type each.

    `check` raises ValueError, with the path of what is wrong, for what the types cannot rule out.
    """

    value_type: type[Value]
    check: Callable[[Value], None]

    def encode(self, value: Value) -> bytes:
        """The JSON form of a value, without what has its default."""
        return msgspec.json.format(msgspec.json.encode(_builtins(value))) + b"\n"

    def decode(self, text: bytes, name: str = "script.json") -> Value:
        """Parse a file's content, TOML or JSON by the ending of its name.

        Raises:
            ValueError: with the path of what is wrong.
        """
        decoder = msgspec.toml if name.endswith(".toml") else msgspec.json
        value: Value = decoder.decode(text, type=self.value_type, dec_hook=units.decode_unit)
        self.check(value)
        return value

    def read(self, path: str) -> Value:
        """Read a file.

        Raises:
            ValueError: with the file and the path of what is wrong.
        """
        try:
            return self.decode(Path(path).read_bytes(), path)
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from None
        except ValueError as error:
            raise ValueError(f"{path}: {error}") from None


def _builtins(value: object) -> object:
    """A value with spans of time as text, and without what has its default."""
    if isinstance(value, Duration):
        return str(value)
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        return {f.encode_name: _builtins(v) for f in fields if (v := getattr(value, f.name)) != _default(f)}
    if isinstance(value, list):
        return [_builtins(item) for item in value]
    return value


def _default(field: msgspec.structs.FieldInfo) -> object:
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return field.default_factory() if field.default_factory is not msgspec.NODEFAULT else msgspec.NODEFAULT
