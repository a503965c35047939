#!/usr/bin/env bash
# The two instances of a data centre are restarted in turn while the store turns the first away. Exits with 1 if the
# second sends new flows to a draining target after the bound, 0 if not, 2 if the case could not run. With TROUBLE=0 the
# store serves both.
cd "$(dirname "$0")/../.." || exit 2
for program in target/guavaloom-edge target/review-2/busyparent; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
    exit 2
  fi
done
exec target/review-2/busyparent -record review/7/record.txt "$@"
