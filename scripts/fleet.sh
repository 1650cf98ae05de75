# Functions to start and stop a small fleet on loopback, sourced by the demo, the experiments and
# the process tests. Each process is stopped by its process ID when the sourcing script exits.
#
# FLEET_BIN  directory of the programs (build)
# FLEET_PORT base port (18000): store +1, host list +2, callers +100, peers +200,
#            targets +1000

FLEET_BIN=${FLEET_BIN:-build}
FLEET_PORT=${FLEET_PORT:-18000}
FLEET_DATA_CENTRES=(riga-1 riga-2 jelgava)
fleet_work=$(mktemp -d)
declare -A fleet_processes

start() {
    local name=$1
    shift
    "$@" > "$fleet_work/$name.log" 2>&1 &
    fleet_processes[$name]=$!
}

stop() {
    local name=$1
    local signal=${2:-TERM}
    kill -"$signal" "${fleet_processes[$name]}" 2> /dev/null || true
    local status=0
    wait "${fleet_processes[$name]}" 2> /dev/null || status=$?
    unset "fleet_processes[$name]"
    return "$status"
}

stop_all() {
    local name
    for name in "${!fleet_processes[@]}"; do
        kill -TERM "${fleet_processes[$name]}" 2> /dev/null || true
    done
    for name in "${!fleet_processes[@]}"; do
        stop "$name" || true
    done
    rm -rf "$fleet_work"
}
trap stop_all EXIT

# Retries a command until it succeeds; gives up after ten seconds.
eventually() {
    local attempt
    for attempt in $(seq 1 100); do
        if "$@" > "$fleet_work/eventually.out" 2>&1; then
            return 0
        fi
        sleep 0.1
    done
    cat "$fleet_work/eventually.out"
    tail -q -n 2 "$fleet_work"/*.log | tail -n 20
    echo "timed out waiting for: $*" >&2
    return 1
}

caller_address() {
    echo "127.0.0.1:$((FLEET_PORT + 100 + $1))"
}

target_address() {
    echo "127.0.0.1:$((FLEET_PORT + 1000 + $1))"
}

# address_list FUNCTION N: prints the results of a function for 1 to N, separated by commas.
address_list() {
    local number list=
    for number in $(seq 1 "$2"); do
        list=$list,$("$1" "$number")
    done
    echo "${list#,}"
}

control() {
    "$FLEET_BIN/mustardctl" --host="$(caller_address 1)" "$@"
}

control_at() {
    local number=$1
    shift
    "$FLEET_BIN/mustardctl" --host="$(caller_address "$number")" "$@"
}

host_data_centre() {
    echo "${FLEET_DATA_CENTRES[$((($1 - 1) % ${#FLEET_DATA_CENTRES[@]}))]}"
}

host_name() {
    echo "$(host_data_centre "$1")-$1"
}

# start_platform HOSTS: starts the store, and the host list with that many hosts.
start_platform() {
    local number hosts=
    for number in $(seq 1 "$1"); do
        hosts=$hosts,$(printf '{"host":"%s","data_centre":"%s","peer":"127.0.0.1:%s"}' \
            "$(host_name "$number")" "$(host_data_centre "$number")" "$((FLEET_PORT + 200 + number))")
    done
    start store "$FLEET_BIN/standin_store" --listen="127.0.0.1:$((FLEET_PORT + 1))"
    start host-list "$FLEET_BIN/standin_host_list" --listen="127.0.0.1:$((FLEET_PORT + 2))" \
        --lag=0s --hosts="{\"hosts\":[${hosts#,}]}"
}

# start_host NUMBER [DISPATCH]
start_host() {
    local number=$1
    cat > "$fleet_work/host-$number.ini" << SETTINGS
[host]
id = $(host_name "$number")
data_centre = $(host_data_centre "$number")
dispatch = ${2:-homes}

[listen]
caller = $(caller_address "$number")
peer = 127.0.0.1:$((FLEET_PORT + 200 + number))

[platform]
store = 127.0.0.1:$((FLEET_PORT + 1))
host_list = 127.0.0.1:$((FLEET_PORT + 2))

[limits]
stop_grace = 200ms
SETTINGS
    start "host-$number" "$FLEET_BIN/mustardd" --settings="$fleet_work/host-$number.ini"
}

# start_target NUMBER [OPTION ...]
start_target() {
    local number=$1
    shift
    start "target-$number" "$FLEET_BIN/standin_target" --listen="$(target_address "$number")" \
        --seed="$number" "$@"
}

# service_settings NAME SHARDS REPLICAS SLOTS CONNECTIONS: prints the settings of one service on
# the targets 1 to SHARDS; replica R of shard S is on target (S + 2R) mod SHARDS + 1.
service_settings() {
    local shard copy number replicas
    printf '[service %s]\nshards = %s\nslots = %s\nconnections = %s\ndeadline = 500ms\n\n' \
        "$1" "$2" "$4" "$5"
    for shard in $(seq 0 $(($2 - 1))); do
        replicas=
        for copy in $(seq 0 $(($3 - 1))); do
            number=$(((shard + 2 * copy) % $2 + 1))
            replicas="$replicas, $(target_data_centre "$number") $(target_address "$number")"
        done
        printf '[shard %s/%s]\nreplicas = %s\n\n' "$1" "$shard" "${replicas#, }"
    done
}

# start_fleet HOSTS TARGETS DISPATCH [TARGET OPTION ...]: starts all processes, without applying
# any team settings.
start_fleet() {
    local hosts=$1 targets=$2 dispatch=$3 number
    shift 3
    start_platform "$hosts"
    for number in $(seq 1 "$targets"); do
        start_target "$number" "$@"
    done
    for number in $(seq 1 "$hosts"); do
        start_host "$number" "$dispatch"
    done
    await_members "$hosts"
}

# apply_first TEAM HOSTS: applies the first settings of a team, read from standard input, and waits
# until they are in force on that many hosts.
apply_first() {
    control apply "$1" - --revision=0 --author=script > /dev/null
    await_settings "$1" "$2"
}

# target_data_centre NUMBER: prints the data centre of a target; two consecutive targets share one.
target_data_centre() {
    echo "${FLEET_DATA_CENTRES[$((($1 - 1) / 2 % ${#FLEET_DATA_CENTRES[@]}))]}"
}

# await_members COUNT: waits until each of that many hosts lists all of them as alive.
await_members() {
    local number
    sees_all() { [ "$(control_at "$1" members | grep -c alive)" -eq "$2" ]; }
    for number in $(seq 1 "$1"); do
        eventually sees_all "$number" "$1"
    done
}

# await_settings TEAM HOSTS: waits until the team's settings are in force on that many hosts.
await_settings() {
    local number
    for number in $(seq 1 "$2"); do
        eventually control_at "$number" show "$1"
    done
}
