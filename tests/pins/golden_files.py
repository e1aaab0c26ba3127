"""Golden files: recorded output of the program, which tests compare in full with its present output.

Each test module here has a function that produces its text. Run as a script, the module rewrites its golden
files; review their diff before you commit them:

    PYTHONPATH=. python tests/pins/test_platform_config.py
"""

import json
from collections.abc import Mapping
from pathlib import Path

DATA = Path(__file__).parent / "data"


def as_json(content: Mapping) -> str:
    """Return the text of a golden file in JSON, with the keys in the order in which they were produced."""
    return json.dumps(content, indent=1) + "\n"


def read_golden(name: str) -> str:
    """Return the committed text of a golden file."""
    return (DATA / name).read_text()


def write_golden(name: str, text: str) -> None:
    """Replace a golden file."""
    DATA.mkdir(exist_ok=True)
    (DATA / name).write_text(text)
