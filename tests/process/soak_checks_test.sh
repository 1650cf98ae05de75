#!/usr/bin/env bash
# Guards against checks of the soak that find nothing: each is shown a trace that breaks a promise, and
# a similar one that breaks none.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/soak-checks.sh

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# begin_trace: writes a trace without violations.
begin_trace() {
    printf '%s\n' '1000 1010 h1 lookup-1 200 4 0' '1000 1010 h1 booking-5 200 - -' \
        '20000 20010 h1 lookup-9 200 4 0' > "$work/requests"
    echo 'booking-5 1' > "$work/bookings"
    : > "$work/excess"
    echo '2000 TERM h2' > "$work/faults"
    printf '%s\n' '1 h1 1.1 1' '2 h1 1.1 2' '3 h1 1.2 1' > "$work/configurations"
}

# expect NAME COUNT FILE LINE...: adds lines to a file of the trace, and expects so many violations.
expect() {
    local name=$1 count=$2 file=$3 found
    shift 3
    begin_trace
    printf '%s\n' "$@" >> "$work/$file"
    found=$(check_all "$work" 4)
    [ "$(echo -n "$found" | grep -c '^')" -eq "$count" ] && return 0
    printf '%s: expected %s violations, found:\n%s\n' "$name" "$count" "$found"
    exit 1
}

expect "a partial answer" 0 requests '1500 1510 h1 lookup-2 200 3 1'
expect "a part of another request" 1 requests '1500 1510 h1 lookup-2 200 foreign 0'
expect "a part that is not counted" 1 requests '1500 1510 h1 lookup-2 200 3 0'
expect "fewer parts than the route allows" 1 requests '1500 1510 h1 lookup-2 200 1 3'
expect "a part that is in an answer twice" 1 requests '1500 1510 h1 lookup-2 200 twice 0'
expect "three lookups on too many targets" 0 excess 'lookup-1 3' 'lookup-2 3' 'lookup-2 3' 'lookup-3 3'
expect "four lookups on too many targets" 1 excess 'lookup-1 3' 'lookup-2 3' 'lookup-3 3' 'lookup-4 3'
expect "a booking that ran twice" 1 bookings 'booking-6 2'
expect "a refused booking" 0 requests '1500 1510 h1 booking-6 503 - -'
expect "a refused booking that ran" 1 requests '1500 1510 h1 booking-5 503 - -'
expect "an answered booking that did not run" 1 requests '1500 1510 h1 booking-6 200 - -'
expect "a request cut during a planned stop" 1 requests '2500 2510 h2 lookup-2 cut - -'
expect "a request cut without a cause" 1 requests '1500 1510 h1 lookup-2 cut - -'
printf -v cut '%s' '2500 2600 h3 lookup-2 cut - -'
begin_trace
echo '2550 KILL h3' >> "$work/faults"
echo "$cut" >> "$work/requests"
[ -z "$(check_all "$work" 4)" ] || { echo "a cut by a kill counts"; exit 1; }
expect "an older configuration in the same life" 1 configurations '4 h1 1.1 1'
expect "an older configuration after a restart" 0 configurations '4 h1 1.3 1'
expect "a refusal before the recovery is due" 0 requests '13000 13010 h1 lookup-3 503 - -'
expect "a refusal after it" 1 requests '15000 15010 h1 lookup-3 503 - -'
expect "a later fault" 1 faults '21000 STOP h1'
begin_trace
: > "$work/configurations"
[ -n "$(check_all "$work" 4)" ] || { echo "a run without configurations passes"; exit 1; }
echo "passed"
