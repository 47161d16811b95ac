#!/usr/bin/env bash
# Bundles the script of each case, with the stand-ins that it starts, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/[0-9]*/case.mjs; do
  [ -e "$script" ] || continue
  name=$(basename "$(dirname "$script")")
  npx --no-install esbuild "$script" --bundle --platform=node --target=node20 --format=esm \
    --packages=bundle --log-level=warning --outfile="target/review/case-$name.mjs" \
    --banner:js="import {createRequire as r} from 'node:module'; const require = r(import.meta.url);"
done
