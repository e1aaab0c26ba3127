"""Values with a unit. A bare number where one is due is a fault: "2000" may be 2 s or half an hour."""

import re

_FORM = re.compile(r"(-?\d+(?:\.\d+)?)\s*([A-Za-z/%]*)")
_SPANS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "kB": 1_000, "MB": 1_000_000}
_RATES = {"/s": 1.0, "/min": 1 / 60, "/h": 1 / 3600}


def _parse_quantity(text: object, units: dict, what: str) -> float:
    if not isinstance(text, str):
        unit = next(unit for unit in ("ms", "KiB", "/s", "%") if unit in units)
        raise ValueError(f'{text!r} has no unit; {what} is written as "{text}{unit}"')
    found = _FORM.fullmatch(text.strip())
    if found is None or found[2] not in units:
        raise ValueError(f"{text!r} is no {what}: a number and one of {', '.join(units)}")
    return float(found[1]) * units[found[2]]


class Duration(int):
    """Microseconds.

    >>> Duration.parse("1.5s"), Duration.parse("-1us"), str(Duration(2500)), str(Duration(2_000_000))
    (1500000, -1, '2500us', '2s')
    >>> Duration.parse(2000)
    Traceback (most recent call last):
    ValueError: 2000 has no unit; span of time is written as "2000ms"
    """

    @classmethod
    def parse(cls, text: object) -> "Duration":
        return cls(round(_parse_quantity(text, _SPANS, "span of time")))

    def __str__(self) -> str:
        for unit in ("s", "ms"):
            if self % _SPANS[unit] == 0:
                return f"{self // _SPANS[unit]}{unit}"
        return f"{int(self)}us"

    __repr__ = int.__repr__


class ByteSize(int):
    """Bytes.

    >>> ByteSize.parse("64KiB"), str(ByteSize(65536)), str(ByteSize(1000))
    (65536, '64KiB', '1000B')
    """

    @classmethod
    def parse(cls, text: object) -> "ByteSize":
        return cls(round(_parse_quantity(text, _SIZES, "size")))

    def __str__(self) -> str:
        for unit in ("MiB", "KiB"):
            if self and self % _SIZES[unit] == 0:
                return f"{self // _SIZES[unit]}{unit}"
        return f"{int(self)}B"

    __repr__ = int.__repr__


class Rate(float):
    """Transactions a second.

    >>> Rate.parse("30/min"), str(Rate(500))
    (0.5, '500/s')
    """

    @classmethod
    def parse(cls, text: object) -> "Rate":
        return cls(_parse_quantity(text, _RATES, "rate"))

    def __str__(self) -> str:
        return f"{float(self):g}/s"

    __repr__ = float.__repr__


class Fraction(float):
    """A part of the whole: "10%", or a number from 0 to 1.

    >>> Fraction.parse("10%"), Fraction.parse(0.25), str(Fraction(0.1))
    (0.1, 0.25, '10%')
    """

    @classmethod
    def parse(cls, text: object) -> "Fraction":
        if isinstance(text, str):
            made = _parse_quantity(text, {"%": 0.01}, "share")
        elif isinstance(text, int | float) and not isinstance(text, bool):
            made = float(text)
        else:
            raise ValueError(f"{text!r} is no share: a percentage, or a number from 0 to 1")
        if not 0 <= made <= 1:
            raise ValueError(f"{text!r} is not between 0 and 1, or 0% and 100%")
        return cls(made)

    def __str__(self) -> str:
        return f"{100 * self:g}%"

    __repr__ = float.__repr__


UNITS = (Duration, ByteSize, Rate, Fraction)


def decode_unit(kind: type, value: object):
    """msgspec's hook for the kinds above."""
    if kind in UNITS:
        return kind.parse(value)
    raise NotImplementedError(kind)
