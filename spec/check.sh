#!/usr/bin/env bash
# Checks the Promela models exhaustively with spin, and verifies that the check of
# a model fails when a guard that it needs is removed. Prints the number of states
# of each run. Exits with status 1 if a result differs from the expected one.
set -u
cd "$(dirname "$0")"
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
status=0

check() { # check WANT FILE DEFINES...: WANT is the expected result, "holds" or "fails"
    local want=$1 file=$2 found states
    shift 2
    local flags=()
    for d in "$@"; do flags+=("-D$d"); done
    (cd "$build" && rm -f pan* && spin "${flags[@]}" -a "$OLDPWD/$file" >spin.log 2>&1 &&
        gcc -O2 -DSAFETY -DNOREDUCE -DVECTORSZ=2048 -o pan pan.c 2>gcc.log && ./pan -E -m1000000 >pan.log 2>&1) ||
        { echo "FAILED $file $*: the checker did not run"; tail -5 "$build"/*.log; status=1; return; }
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$build/pan.log")
    found="broken"
    grep -q 'errors: 0' "$build/pan.log" && found=holds
    grep -q 'assertion violated' "$build/pan.log" && found=fails
    if grep -Eq 'max search depth too small|out of memory|truncated' "$build/pan.log"; then found="not exhaustive"; fi
    printf '%-6s %-14s %-22s %s states\n' "$([ "$found" = "$want" ] && echo ok || echo FAILED)" "$file" "${*:-all guards}: $found" "$states"
    [ "$found" = "$want" ] || status=1
}

check holds lease.pml
check fails lease.pml NO_QUIET
check fails lease.pml FROM_RECEIPT
check fails lease.pml QUORUM_ENDS
check fails lease.pml ANY_TERM_ENDS
check holds intent.pml
check fails intent.pml NO_RELEASE
check holds intent.pml FENCED
check holds withdraw.pml
check fails withdraw.pml NO_HOME_CONFIRM
check fails withdraw.pml FROM_RECEIPT
check fails withdraw.pml NO_NEW_LEADER_WAIT
check fails withdraw.pml NO_QUORUM_READ
check holds voters.pml
check fails voters.pml NO_CATCH_UP
exit $status
