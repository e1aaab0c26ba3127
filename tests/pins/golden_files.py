"""Golden files: what the program wrote when they were made, compared in full with what it writes now.

Each test module here has a function that produces its text. Run as a script, the module writes its golden
files anew, to be read in the diff before they are committed:

    PYTHONPATH=. python tests/pins/test_platform_config.py
"""

import json
from collections.abc import Mapping
from pathlib import Path

DATA = Path(__file__).parent / "data"


def as_json(content: Mapping) -> str:
    """The text of a golden file in JSON, with the keys in the order in which they were produced."""
    return json.dumps(content, indent=1) + "\n"


def read_golden(name: str) -> str:
    """The committed text of a golden file."""
    return (DATA / name).read_text()


def write_golden(name: str, text: str) -> None:
    """Replaces a golden file."""
    DATA.mkdir(exist_ok=True)
    (DATA / name).write_text(text)
