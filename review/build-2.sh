#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs that need nothing but the
# standard library, so there is nothing to build. Checks that they can start and
# that the deploy file's build has left the project's programs.
set -eu
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/rig-2"); import rig'
for program in ferrysessiond ferryfleetd; do
  if [ ! -x "target/$program" ]; then
    echo "target/$program is missing: run the build of deploy/system.toml" >&2
    exit 1
  fi
done
