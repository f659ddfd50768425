#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Build first: the deploy file's build, then review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-3/release/review-standin-3
[ -x "$standin" ] && [ -x target/deploy/waxwing-platform ] || { echo "build first" >&2; exit 2; }
exec "$standin" silent review/13
