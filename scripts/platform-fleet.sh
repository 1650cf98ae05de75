# Functions to start hosts of the platform deployment with the platform stand-in; sourced after
# fleet.sh.

# FLEET_LINK_MBIT: data rate of each host's network link in Mbit/s (1000)
FLEET_LINK_MBIT=${FLEET_LINK_MBIT:-1000}
# FLEET_CORES: share of a processor core that each host takes itself to have (1)
FLEET_CORES=${FLEET_CORES:-1}
# FLEET_MOST_HOSTS: highest number of a host (20). Ports are, from FLEET_PORT + 400: those for
# callers, readiness, metrics and relays, so many of each, and the targets.
FLEET_MOST_HOSTS=${FLEET_MOST_HOSTS:-20}

# platform_settings NUMBER [DATA_CENTRE]: prints the settings of a host; one with a data centre can
# relay changes of the store.
platform_settings() {
    local number=$1
    local data_centre=${2:-${FLEET_DATA_CENTRES[$((($1 - 1) % 3))]}}
    local relay=${2:+relay = 127.0.0.1:$(host_port 3 "$1")}
    cat << END
[host]
id = host-$number
data_centre = $data_centre
cores = $FLEET_CORES

[listen]
caller = 127.0.0.1:$(caller_port "$number")
readiness = 127.0.0.1:$(readiness_port "$number")
metrics = 127.0.0.1:$(metrics_port "$number")
$relay

[network]
link_mbit_per_s = $FLEET_LINK_MBIT

[store]
address = 127.0.0.1:$((FLEET_PORT + 399))

[retries]
ratio = 0.2
extra = 54

[times]
stop_grace = 6s
END
}

start_platform_standin() {
    start platform "$FLEET_BIN/standin_platform" --store="127.0.0.1:$((FLEET_PORT + 399))" \
        --first-target-port="$(host_port 5 0)" --control="127.0.0.1:$((FLEET_PORT + 398))" "$@"
}

# change_store COMMAND: sends a command to the control address of the platform stand-in.
change_store() {
    send_request $((FLEET_PORT + 398)) POST "/$1" control | grep -q ' 200 '
}

# start_platform_host NUMBER [DATA_CENTRE]
start_platform_host() {
    local number=$1
    platform_settings "$@" > "$fleet_work/platform-$number.ini"
    start "platform-host-$number" "$FLEET_BIN/mustardd" --settings="$fleet_work/platform-$number.ini"
}

# send_request PORT METHOD PATH ID: sends one request and prints the whole response.
send_request() {
    exec 9<> "/dev/tcp/127.0.0.1/$1"
    printf '%s %s HTTP/1.1\r\nHost: search.example\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: 900\r\nContent-Length: 0\r\nConnection: close\r\n\r\n' \
        "$2" "$3" "$4" >&9
    tr -d '\r' <&9
    exec 9>&-
}

# host_port USE HOST: prints the port of a host for the use with this number.
host_port() {
    echo $((FLEET_PORT + 400 + $1 * FLEET_MOST_HOSTS + $2))
}

caller_port() { host_port 0 "$1"; }
readiness_port() { host_port 1 "$1"; }
metrics_port() { host_port 2 "$1"; }

is_ready() {
    send_request "$(readiness_port "$1")" GET / ready 2> /dev/null | grep -q ' 200 '
}

now_ms() { echo $(($(date +%s%N) / 1000000)); }

# lists_members NUMBER COUNT: whether a host sees this many members.
lists_members() {
    send_request "$(metrics_port "$1")" GET /status state | grep -q "\"listed\":$2"
}

# start_relayed_fleet COUNT RELAYED: starts hosts 1 to COUNT and waits until they see one another.
# The first ones are in one data centre and have a relay; the others watch the store themselves.
start_relayed_fleet() {
    local number
    for number in $(seq 1 "$2"); do
        start_platform_host "$number" riga-1
    done
    for number in $(seq $(($2 + 1)) "$1"); do
        start_platform_host "$number"
    done
    for number in $(seq 1 "$1"); do
        eventually lists_members "$number" "$1"
        eventually is_ready "$number"
    done
}
