"""Quantities with units. A number without a unit is an error: "2000" may be 2 s or half an hour."""

import re
from collections.abc import Mapping
from typing import Self

from dahliabend.errors import FormatError

_QUANTITY = re.compile(r"(-?\d+(?:\.\d+)?)\s*([A-Za-z/%]*)")
_DURATION_UNITS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "kB": 1_000, "MB": 1_000_000}
_RATE_UNITS = {"/s": 1.0, "/min": 1 / 60, "/h": 1 / 3600}
_FRACTION_UNITS = {"%": 0.01}
_EXAMPLE_UNITS = ("ms", "KiB", "/s", "%")  # the unit of each table above that errors propose


def _parse_quantity(raw_value: object, units: Mapping[str, float], quantity_name: str) -> float:
    """Convert a number with a unit to the unit whose factor is 1.

    Args:
        raw_value: The value in the file, expected to be text: a number with its unit.
        units: The factor of each unit.
        quantity_name: The name of the quantity, for errors.

    Raises:
        FormatError: The value has another form, or a unit that is not in the table.
    """
    if not isinstance(raw_value, str):
        unit = next(unit for unit in _EXAMPLE_UNITS if unit in units)
        raise FormatError(f'{raw_value!r} has no unit; {quantity_name} is written as "{raw_value}{unit}"')
    match = _QUANTITY.fullmatch(raw_value.strip())
    if match is None or match[2] not in units:
        raise FormatError(f"{raw_value!r} is no {quantity_name}: a number and one of {', '.join(units)}")
    return float(match[1]) * units[match[2]]


class Duration(int):
    """A duration in microseconds.

    >>> Duration.parse("1.5s"), Duration.parse("-1us"), str(Duration(2500)), str(Duration(2_000_000))
    (1500000, -1, '2500us', '2s')
    >>> Duration.parse(2000)
    Traceback (most recent call last):
    dahliabend.errors.FormatError: 2000 has no unit; span of time is written as "2000ms"
    """

    @classmethod
    def parse(cls, raw_value: object) -> Self:
        """Parse a number with one of the units us, ms, s, min, h.

        Raises:
            FormatError: The value is not a number with one of these units.
        """
        return cls(round(_parse_quantity(raw_value, _DURATION_UNITS, "span of time")))

    def __str__(self) -> str:
        for unit in ("s", "ms"):
            if self % _DURATION_UNITS[unit] == 0:
                return f"{self // _DURATION_UNITS[unit]}{unit}"
        return f"{int(self)}us"

    __repr__ = int.__repr__


class ByteSize(int):
    """A size in bytes.

    >>> ByteSize.parse("64KiB"), str(ByteSize(65536)), str(ByteSize(1000))
    (65536, '64KiB', '1000B')
    """

    @classmethod
    def parse(cls, raw_value: object) -> Self:
        """Parse a number with one of the units B, KiB, MiB, kB, MB.

        Raises:
            FormatError: The value is not a number with one of these units.
        """
        return cls(round(_parse_quantity(raw_value, _SIZE_UNITS, "size")))

    def __str__(self) -> str:
        for unit in ("MiB", "KiB"):
            if self and self % _SIZE_UNITS[unit] == 0:
                return f"{self // _SIZE_UNITS[unit]}{unit}"
        return f"{int(self)}B"

    __repr__ = int.__repr__


class Rate(float):
    """A rate in requests per second.

    >>> Rate.parse("30/min"), str(Rate(500))
    (0.5, '500/s')
    """

    @classmethod
    def parse(cls, raw_value: object) -> Self:
        """Parse a number with one of the units /s, /min, /h.

        Raises:
            FormatError: The value is not a number with one of these units.
        """
        return cls(_parse_quantity(raw_value, _RATE_UNITS, "rate"))

    def __str__(self) -> str:
        return f"{float(self):g}/s"

    __repr__ = float.__repr__


class Fraction(float):
    """A fraction from 0 to 1, written as a percentage such as "10%" or as a number.

    >>> Fraction.parse("10%"), Fraction.parse(0.25), str(Fraction(0.1))
    (0.1, 0.25, '10%')
    """

    @classmethod
    def parse(cls, raw_value: object) -> Self:
        """Parse a percentage or a number from 0 to 1.

        Raises:
            FormatError: The value is neither, or out of range.
        """
        if isinstance(raw_value, str):
            value = _parse_quantity(raw_value, _FRACTION_UNITS, "share")
        elif isinstance(raw_value, int | float) and not isinstance(raw_value, bool):
            value = float(raw_value)
        else:
            raise FormatError(f"{raw_value!r} is no share: a percentage, or a number from 0 to 1")
        if not 0 <= value <= 1:
            raise FormatError(f"{raw_value!r} is not between 0 and 1, or 0% and 100%")
        return cls(value)

    def __str__(self) -> str:
        return f"{100 * self:g}%"

    __repr__ = float.__repr__


UNITS = (Duration, ByteSize, Rate, Fraction)


def decode_unit(kind: type, value: object) -> Duration | ByteSize | Rate | Fraction:
    """Decode a value of one of the types in `UNITS`, as msgspec's `dec_hook`.

    Raises:
        FormatError: The value does not have the type's form.
        NotImplementedError: The type is not in `UNITS`.
    """
    for unit in UNITS:
        if kind is unit:
            return unit.parse(value)
    raise NotImplementedError(kind)
