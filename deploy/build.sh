#!/usr/bin/env bash
# Puts the libraries and the product, compiled, under target/deps; the libraries only when their list has changed.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! target/deps/.requirements -nt deploy/requirements.txt ]; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  touch target/deps/.requirements
fi
rm -rf target/deps/worksramp target/deps/worksramp_platform
cp -r src/worksramp platform/worksramp_platform target/deps/
python3 -m compileall -q target/deps
