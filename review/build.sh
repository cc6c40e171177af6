#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start: the project's own store stand-in (dist/).
# The stand-ins of review/lib are plain JavaScript and need no build.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -p tsconfig.build.json
for file in review/lib/*.js review/*/case.js; do node --check "$file"; done
