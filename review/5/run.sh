#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't be played. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/bin/hyssophalld ] && [ -x target/review/scenario-5 ] || exit 2
timeout 110 target/review/scenario-5 review/5/record.txt
result=$?
[ $result -le 2 ] || exit 2
exit $result
