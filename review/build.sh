#!/usr/bin/env bash
# The stand-ins of the scripts are Python and need no compiler. This checks that
# they can be read and that the programs they start were built.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in rig/rig.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
for program in ferrysessiond ferryfleetd; do
  [ -x "../target/$program" ] || echo "note: target/$program isn't built yet"
done
