#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case_folder=review/3
[ -x build/lotusyard ] && [ -x build/lotusyard_cluster ] || { echo "build the programs first"; exit 2; }
[ -x review/bin/case-3 ] || review/build.sh || exit 2
exec timeout -k 2 118 review/bin/case-3 "$case_folder"
