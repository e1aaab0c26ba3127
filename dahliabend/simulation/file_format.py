"""The file format of scenarios and cluster scripts: typed TOML or JSON, with durations as text.

A duration has a unit ("250ms", "1.5s", "1us"). Unknown keys are rejected with their path.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from dahliabend.config.operator_file import units
from dahliabend.config.operator_file.units import Duration


def stored_keys(keys: Mapping[str, str]) -> Callable[[str], str]:
    """Return a function that maps a field to its key in `keys`, or else to its name in kebab case."""
    return lambda field: keys.get(field, field.replace("_", "-"))


class Table(msgspec.Struct, rename="kebab", forbid_unknown_fields=True, omit_defaults=True):
    """A table of a file, with keys in kebab case. Unknown keys are rejected."""


Value = TypeVar("Value", bound=Table)


@dataclass(frozen=True, slots=True)
class FileFormat(Generic[Value]):
    """The format of files that hold one value of a given type.

    `check` raises ValueError, with the path of the invalid value, for errors that the types cannot rule out.
    """

    value_type: type[Value]
    check: Callable[[Value], None]

    def encode(self, value: Value) -> bytes:
        """Return a value as JSON, without fields that have their default."""
        return msgspec.json.format(msgspec.json.encode(_builtins(value))) + b"\n"

    def decode(self, text: bytes, name: str = "script.json") -> Value:
        """Parse a file's content: TOML if its name ends with `.toml`, else JSON.

        Raises:
            ValueError: the content is invalid; the message has the path of the value.
        """
        decoder = msgspec.toml if name.endswith(".toml") else msgspec.json
        value: Value = decoder.decode(text, type=self.value_type, dec_hook=units.decode_unit)
        self.check(value)
        return value

    def read(self, path: str) -> Value:
        """Read and parse a file.

        Raises:
            ValueError: the file cannot be read or is invalid; the message has its name and the value's path.
        """
        try:
            return self.decode(Path(path).read_bytes(), path)
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from None
        except ValueError as error:
            raise ValueError(f"{path}: {error}") from None


def _builtins(value: object) -> object:
    """Return a value as plain types, with durations as text and without fields that have their default."""
    if isinstance(value, Duration):
        return str(value)
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        return {f.encode_name: _builtins(v) for f in fields if (v := getattr(value, f.name)) != _default(f)}
    if isinstance(value, list):
        return [_builtins(item) for item in value]
    return value


def _default(field: msgspec.structs.FieldInfo) -> object:
    """Return the default of a field, `msgspec.NODEFAULT` if it has none."""
    if field.default is not msgspec.NODEFAULT:
        return field.default
    return field.default_factory() if field.default_factory is not msgspec.NODEFAULT else msgspec.NODEFAULT
