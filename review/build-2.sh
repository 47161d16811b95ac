#!/usr/bin/env bash
# Bundles the scripts of the cases, with the project's stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
# CommonJS packages call `require`, which is not defined in an ES module.
banner="import {createRequire as bundleRequire} from 'node:module'; const require = bundleRequire(import.meta.url);"
for number in 6 7 8 9 10; do
  node_modules/.bin/esbuild "review/$number/case.mjs" --bundle --platform=node --target=node20 --format=esm \
    --banner:js="$banner" --log-level=warning --outfile="target/review-2/$number.mjs"
done
