#!/usr/bin/env bash
# Runs the case, with TROUBLE=0 without its disruption. Exit status: 0 if the rule
# held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/sapphirebank_platform ] || exit 2
[ -x target/review-2/case_7 ] || exit 2
exec target/review-2/case_7 review/7/record.txt "${TROUBLE:-1}"
