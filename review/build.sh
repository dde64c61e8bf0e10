#!/usr/bin/env bash
# Builds the stand-in of the project that the cases start: the store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
node_modules/.bin/esbuild platform/stand-ins/store-stand-in.ts \
  --bundle --platform=node --format=esm --target=node20 --log-level=warning \
  --outfile=out/review/store-stand-in.mjs
