#!/usr/bin/env bash
# Runs go mod tidy in the given folder, with a replace directive for each sibling module
# that it needs.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/$1"
prefix=persimmonport.example
[ -f go.mod ] || go mod init "$prefix/$(basename "$PWD")" >/dev/null 2>&1
go mod edit -go=1.26.0
self=$(go list -m -f '{{.Path}}' 2>/dev/null | head -1 || true)
self=$(awk '/^module/ {print $2}' go.mod)
for mod in "$root"/*/go.mod; do
  name=$(basename "$(dirname "$mod")")
  [ "$prefix/$name" = "$self" ] && continue
  if [ "$PWD" = "$root" ]; then target=./$name; else target=../$name; fi
  go mod edit -replace="$prefix/$name=$target"
done
GOWORK=off go mod tidy
for path in $(awk '/^replace/ {print $2}' go.mod); do
  grep -qE "^(require )?[[:space:]]*$path v" go.mod || go mod edit -dropreplace="$path"
done
