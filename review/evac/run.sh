#!/usr/bin/env bash
# Exits with 1 if the rule EVAC was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
