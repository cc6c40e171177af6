#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain JavaScript: this checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in standins-3/*.js 1[1-5]/*.js; do node --check "$file" || exit 2; done
