#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they are Python and need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-2
