#!/bin/sh
# Builds the stand-ins that the scripts start: plain Python of the standard
# library, compiled so that a script neither compiles nor writes there.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins
