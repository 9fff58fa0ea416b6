#!/usr/bin/env bash
# A new configuration sends a fifth of a route to a second, small service.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantlug-node ] && [ -x target/review/review-case ] || exit 2
timeout -k 2 115 target/review/review-case split-route review/3
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
