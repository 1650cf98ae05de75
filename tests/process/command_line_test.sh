#!/usr/bin/env bash
# Exit codes and messages of mustardd and mustardctl. Each row has the expected exit code, a text
# that the output must contain, and the command.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/fleet.sh

start_platform 1
start_target 1
start_target 2
start_host 1
service_settings lots 2 1 4 25 > "$fleet_work/team.ini"
printf '[service lots]\nshards = two\n' > "$fleet_work/bad.ini"
printf '[host]\nid = a\ndata_centre = b\nspeed = 3\n' > "$fleet_work/bad-host.ini"
await_members 1

failures=0
expect() {
    local code=$1 text=$2
    shift 2
    local status=0
    "$@" > "$fleet_work/command.out" 2>&1 || status=$?
    if [ "$status" -ne "$code" ] || ! grep -qF -- "$text" "$fleet_work/command.out"; then
        echo "expected $code and '$text', got $status from: $*"
        cat "$fleet_work/command.out"
        failures=$((failures + 1))
    fi
}

daemon=$FLEET_BIN/mustardd
expect 2 "--settings is required" "$daemon"
expect 3 "cannot be opened" "$daemon" --settings=/nonexistent/file
expect 3 "bad-host.ini:4 [host] speed: unknown-key" "$daemon" --settings="$fleet_work/bad-host.ini"
expect 0 "accepted" "$daemon" --settings="$fleet_work/host-1.ini" --check-settings
expect 1 "cannot" timeout 5 "$daemon" --settings="$fleet_work/host-1.ini"

expect 2 "a command is required" control
expect 2 "unknown command" control dance
expect 2 "usage: mustardctl apply TEAM FILE" control apply auctions
expect 0 "data-centre-out NAME TEAM" control help
expect 1 "--revision (revision that the settings were edited from)" control --help
expect 3 "bad.ini:2 [service lots] shards: bad-value" control check auctions "$fleet_work/bad.ini"
expect 0 "accepted" control check auctions "$fleet_work/team.ini"
expect 2 "needs --revision" control apply auctions "$fleet_work/team.ini"
expect 0 "revision 1" control apply auctions "$fleet_work/team.ini" --revision=0 --author=a --comment=first
expect 4 "last change" control apply auctions "$fleet_work/team.ini" --revision=0 --author=b
expect 0 "first" control audit auctions
expect 0 "[service lots]" control show auctions
expect 1 "no settings of this team" control show nobody
expect 0 "coverage 2/2" control lookup lots chairs
expect 0 '"answered": 2' control --json lookup lots chairs
expect 3 "unknownService" control lookup nothing chairs
expect 3 "unknownService" control request nothing lot-1 reserve --id=zero
expect 0 "done" control request lots lot-1 reserve --id=one
expect 0 "alreadyDone" control request lots lot-1 reserve --id=one
expect 3 "differentContent" control request lots lot-1 other --id=one
expect 3 "rejectedByTarget" control request lots lot-1 reject --id=two
expect 5 "tooOld" control request lots lot-1 reserve --id=three --issued-at-ms=1000
expect 0 "revision 2" control data-centre-out riga-1 auctions
expect 7 "coverage 0/2" control lookup lots chairs
expect 5 "retry after 1 s" control request lots lot-1 reserve --id=four
expect 5 "dataCentreOut" control request lots lot-1 reserve --id=four
expect 0 "revision 3" control data-centre-in riga-1 auctions
expect 0 "coverage 2/2" control lookup lots chairs
expect 0 "alive" control members
expect 0 "127.0.0.1" control targets
expect 1 "no response" "$FLEET_BIN/mustardctl" --host=127.0.0.1:1 members
expect 1 "not an IPv4 address" "$FLEET_BIN/mustardctl" --host=localhost:1 members

# Settings applied by mustardctl take effect in the daemon, which logs each change.
grep -q 'event=settings-in-force team=auctions revision=3' "$fleet_work/host-1.log" || {
    echo "the daemon did not log the settings change"
    failures=$((failures + 1))
}
echo "$failures failures"
[ "$failures" -eq 0 ]
