"""Lets the tests here find `helpers` and the corpus."""

import sys
from pathlib import Path

for folder in (Path(__file__).parents[1], Path(__file__).parents[1] / "settings"):
    sys.path.insert(0, str(folder))
