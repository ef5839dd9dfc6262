#!/usr/bin/env bash
# Checks that every relative link of the documents leads to a file.
set -euo pipefail
cd "$(dirname "$0")/../.."
failed=0
for page in *.md docs/*.md docs/*/*.md; do
  while read -r target; do
    if [ ! -e "$(dirname "$page")/${target%%#*}" ]; then
      echo "$page links to $target, which does not exist"
      failed=1
    fi
  done < <(grep -oE '\]\([^)#][^)]*\)' "$page" | sed 's/^](//; s/)$//' | grep -vE '^[a-z]+:|[[*]' || true)
done
exit "$failed"
