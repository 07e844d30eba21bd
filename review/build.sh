#!/usr/bin/env bash
# Builds every stand-in that the scripts of the review start. They are plain modules of Node.js,
# so that there is nothing to compile: the syntax of each is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
