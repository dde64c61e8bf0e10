# Functions for the *.check scripts, which source this file: explore a model and check the result.
set -euo pipefail
shopt -s inherit_errexit
cd "$(dirname "${BASH_SOURCE[0]}")"
specification=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# explore MODEL FLAG...: prints pan's report. `pan -E` ignores invalid end states.
explore() {
  local model=$1
  shift
  (
    cd "$work"
    spin -a "$@" "$specification/$model.pml"
    gcc -O1 -w -DSAFETY -o pan pan.c
    ./pan -E -m200000
  )
}

states() {
  awk '/states, stored/ { print $1 }'
}

expect_pass() {
  local report
  report=$(explore "$@")
  if ! grep -q 'errors: 0' <<<"$report" || grep -q -e 'max search depth too small' -e 'Search not completed' <<<"$report"; then
    echo "$report"
    echo "FAILED: $* has an error or was not explored completely"
    exit 1
  fi
  echo "$*: no error in $(states <<<"$report") states"
}

expect_fail() {
  local report
  report=$(explore "$@")
  if ! grep -q 'assertion violated' <<<"$report"; then
    echo "$report"
    echo "FAILED: mutant $* violates nothing"
    exit 1
  fi
  echo "mutant $*: violated within $(states <<<"$report") states"
}
