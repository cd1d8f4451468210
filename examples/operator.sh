#!/usr/bin/env bash
# An operator's session with the command line.
# Needs a running deployment: python examples/up.py & then: . ./carobspur.env
set -euo pipefail

carobspur=${CAROBSPUR:-carobspur}
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT
show() {
  echo
  echo "\$ carobspur $*"
  $carobspur "$@"
}

show status
show inventory show
show rules show

# The inventory in force, with a larger allowance, as a file.
$carobspur inventory show --json >"$work/shown.json"
revision=$(python3 - "$work" <<'END'
import json, sys
shown = json.load(open(f"{sys.argv[1]}/shown.json"))
shown["inventory"]["allowances"][0]["units"] += 1000
json.dump(shown["inventory"], open(f"{sys.argv[1]}/inventory.json", "w"), indent=2)
print(shown["revision"])
END
)
show inventory diff "$work/inventory.json"
show inventory import "$work/inventory.json" --revision="$revision"

echo
echo "# The same revision again: somebody was first (exit code 4)."
sed -i 's/"window_s": 3600/"window_s": 7200/' "$work/inventory.json"
show inventory import "$work/inventory.json" --revision="$revision" || echo "exit $?"
show inventory history
show key new shops-2 --role=caller
show report burn --plot="$work/burn.png"

echo
echo "# Draining an instance needs the platform operators' key."
CAROBSPUR_KEY=$PLATFORM_KEY show drain instance-2
show status
CAROBSPUR_KEY=$PLATFORM_KEY show undrain instance-2
show settings check "$(dirname "$0")/settings.ini"
