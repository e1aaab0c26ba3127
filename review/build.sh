#!/bin/sh
# Builds what the cases start beside the balancer. The stand-ins are Python programs that need nothing but the
# interpreter of the deploy file's build; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -B - <<'PYTHON'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("fine:", path)
PYTHON
