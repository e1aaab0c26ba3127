"""Lets the tests here find `corpus`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
