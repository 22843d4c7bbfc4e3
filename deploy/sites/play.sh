#!/bin/sh
# Plays the short days of the made-up operators, one after the other, and prints one line for each.
#
#   LBREAL=PATH deploy/sites/play.sh SEED [SITE...]
#
# LBREAL names the fleet test's bench. SITE is a site file or its bare name; none means all of them. OUT, if set, is a folder
# that keeps each bench run's whole output and the logs of its nodes. Ends with 0 if all passed, 1 if any failed or could not be
# played, 2 if it can't begin.
set -u

usage() {
    echo "usage: LBREAL=PATH deploy/sites/play.sh SEED [SITE...]" >&2
    exit 2
}

[ $# -ge 1 ] || usage
seed=$1
shift
case $seed in
'' | *[!0-9]*)
    echo "play.sh: the seed has to be a whole number, not '$seed'" >&2
    usage
    ;;
esac
if [ -z "${LBREAL:-}" ]; then
    echo "play.sh: LBREAL is not set; it has to name the bench of the fleet test (lbreal)" >&2
    exit 2
fi
if [ ! -x "$LBREAL" ]; then
    echo "play.sh: LBREAL names '$LBREAL', which is no program that can be run" >&2
    exit 2
fi
# Taken as it stands in the caller's folder, since the days are played from the repository's root.
lbreal=$(cd "$(dirname "$LBREAL")" && pwd)/$(basename "$LBREAL")
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)

out=${OUT:-}
if [ -n "$out" ]; then
    mkdir -p "$out" || exit 2
    out=$(cd "$out" && pwd)
    keep_logs=1
else
    keep_logs=
    out=$(mktemp -d) || exit 2
    trap 'rm -rf "$out"' EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
fi

# Prints the path of a site given as a file or by its bare name; fails if there is none.
site_file() {
    if [ -f "$1" ]; then
        echo "$(cd "$(dirname "$1")" && pwd)/$(basename "$1")"
        return
    fi
    for found in "$here"/*/"$1".toml; do
        [ -f "$found" ] && echo "$found" && return
    done
    return 1
}

[ $# -gt 0 ] || set -- "$here"/*/*.toml

failed=0
for site in "$@"; do
    if ! file=$(site_file "$site"); then
        echo "$site: no such site" >&2
        failed=1
        continue
    fi
    name=$(basename "$file" .toml)
    log=$out/$name-$seed.txt
    logs=$out/$name-$seed.logs
    [ -z "$keep_logs" ] || mkdir -p "$logs" || exit 2
    (cd "$root" && "$lbreal" score "${file#"$root"/}" --panel brink --seed "$seed" \
        ${keep_logs:+--logs "$logs"} --why "the short days of $name, one of the made-up operators, seed $seed") >"$log" 2>&1 </dev/null
    status=$?
    gate=$(sed -n 's/^GATE //p' "$log" | tail -n 1)
    score=$(sed -n 's/^score of the real nodes \([0-9.]*\).*/\1/p' "$log" | tail -n 1)
    case $gate in
    passed*)
        printf '%-14s seed %s  passed  %s\n' "$name" "$seed" "$score"
        ;;
    '')
        failed=1
        printf '%-14s seed %s  not played, the bench ended with %s: %s\n' "$name" "$seed" "$status" "$(tail -n 1 "$log")"
        ;;
    *)
        failed=1
        printf '%-14s seed %s  failed  %s  %s\n' "$name" "$seed" "${score:--}" "${gate#failed: }"
        ;;
    esac
done
exit $failed
