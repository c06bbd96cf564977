#!/usr/bin/env bash
# Puts the libraries and the product, compiled, under target/deps; each only when its sources have changed.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.requirements -nt deploy/requirements.txt ]; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  touch target/deps/.requirements
fi
if [ ! -e target/deps/.product ] || [ -n "$(find src/worksramp platform/worksramp_platform deploy/start.py deploy/bundle.py -newer target/deps/.product -name '*.py' -print -quit)" ]; then
  rm -rf target/deps/worksramp target/deps/worksramp_platform
  cp -r src/worksramp platform/worksramp_platform target/deps/
  cp deploy/start.py target/deps/
  python3 -m compileall -q target/deps
  python3 -S deploy/bundle.py target/deps
  touch target/deps/.product
fi
