#!/usr/bin/env bash
# Check the stand-ins that the scripts start. They are Python files of the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'END'
import ast
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
