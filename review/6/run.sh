#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the impairment out.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "$TROUBLE" = 0 ] && trouble=false
review/second/target/frozen -program target/platform -record review/6/record.txt -trouble=$trouble
code=$?
[ $code -gt 2 ] && exit 2
exit $code
