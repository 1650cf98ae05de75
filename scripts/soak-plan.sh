# The faults of a soak, sourced by soak.sh and by their own test.

# Grace period of a planned stop, after which the host is started again.
SOAK_STOP_GRACE_MS=6000

# plan_faults SEED HOSTS TARGETS SECONDS: prints lines "MILLISECONDS EVENT ARGUMENT" in the order of
# time. Faults overlap.
plan_faults() {
    local host_count=$2 target_count=$3 length_s=$4 at=1000 version=1 host
    # A subshell has random numbers of its own, so the seed is set in that of the loop.
    {
        RANDOM=$1
        while [ $at -lt $((length_s * 1000)) ]; do
            host=$((RANDOM % host_count + 1))
            case $((RANDOM % 9)) in
            0)
                echo "$at KILL $host"
                echo "$((at + 200 + RANDOM % 2000)) start $host"
                ;;
            1 | 2)
                echo "$at TERM $host"
                echo "$((at + SOAK_STOP_GRACE_MS + 500)) start $host"
                ;;
            3 | 4)
                echo "$at STOP $host"
                echo "$((at + 100 + RANDOM % 3000)) CONT $host"
                ;;
            5)
                echo "$at change unavailable"
                echo "$((at + 200 + RANDOM % 3000)) change serving"
                ;;
            6)
                echo "$at change copy"
                echo "$((at + 200 + RANDOM % 1500)) change restore"
                echo "$((at + 2200 + RANDOM % 1000)) change write-again"
                ;;
            7)
                version=$((version + 1))
                echo "$at change configuration/$version"
                ;;
            8)
                host=$((RANDOM % target_count))
                echo "$at change target/$host/pause/2"
                echo "$((at + 500 + RANDOM % 2000)) change target/$host/pause"
                ;;
            esac
            at=$((at + 100 + RANDOM % 1500))
        done
    } | sort -n -s -k 1,1
}
