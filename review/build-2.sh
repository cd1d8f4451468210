#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs: nothing has to be compiled. Checks
# that they can be loaded with what the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=src:target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.harness_2"
