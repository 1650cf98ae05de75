# Checks of a soak, sourced by soak.sh and by their own test. Each reads files of a directory and
# prints a line for each violation:
#   requests   BEGIN END HOST-ADDRESS ID STATUS PARTS MISSING, from the callers, times in milliseconds
#   faults     TIME EVENT HOST-ADDRESS, what was done to a host; "-" for the store and targets
#   bookings   ID RUNS, from the targets
#   excess     ID RUNS, lookups that more targets of one shard have run than their route allows
#   configurations  TIME HOST-ADDRESS LIFE VERSION, from the hosts' logs

# Time after a disturbance from which promises hold again.
SOAK_CONTACT_MS=4000
# Time after the last fault from which requests are served.
SOAK_RECOVERY_MS=12000

# An answer holds only parts of its own request, and counts those that are missing.
check_coverage() {
    awk -v shards="$2" '
        $4 ~ /^lookup/ && $5 == 200 {
            if ($6 == "foreign") print "foreign part: " $0
            else if ($6 == "twice") print "part twice: " $0
            else if ($6 + $7 != shards) print "wrong coverage: " $0
            else if ($6 * 2 < shards) print "too few parts: " $0
        }' "$1/requests"
}

check_once() {
    awk '$2 > 1 { print "ran more than once: " $0 }' "$1/bookings"
}

# At most three lookups of a run go to more targets of a shard than their route allows.
check_attempts() {
    awk '
        !($1 in seen) { seen[$1]; ++lookups }
        END { if (lookups > 3) print lookups " lookups ran on too many targets, this one " $0 }' "$1/excess"
}

# A booking that was refused has not run, and one that was answered has.
check_refusals() {
    awk '
        NR == FNR { runs[$1] = $2; next }
        $4 ~ /^booking/ && ($5 == 503 || $5 == 429 || $5 == "unreached") && runs[$4] > 0 {
            print "refused but run: " $0
        }
        $4 ~ /^booking/ && $5 == 200 && !(runs[$4] > 0) { print "answered but not run: " $0 }
    ' "$1/bookings" "$1/requests"
}

# A connection ends without an answer only if its host was killed or frozen shortly before.
check_cuts() {
    awk -v contact="$SOAK_CONTACT_MS" '
        NR == FNR {
            if ($2 == "KILL" || $2 == "STOP" || $2 == "CONT") at[$3] = at[$3] " " $1
            next
        }
        $5 == "cut" {
            count = split(at[$3], times, " ")
            for (i = 1; i <= count; ++i)
                if (times[i] >= $1 - contact && times[i] <= $2) next
            print "cut: " $0
        }' "$1/faults" "$1/requests"
}

# In the life of a process, the version of its configuration only increases.
check_configurations() {
    awk '
        { life = $2 " " $3 }
        life in version && $4 < version[life] { print "went back: " $0 }
        { version[life] = $4 }
        END { if (NR == 0) print "no configuration was in force" }' "$1/configurations"
}

# After the last fault 99 in 100 requests are answered.
check_recovery() {
    awk -v recovery="$SOAK_RECOVERY_MS" '
        NR == FNR { last = $1 > last ? $1 : last; next }
        $1 > last + recovery {
            ++sent
            answered += $5 == 200
        }
        END {
            if (sent == 0) print "no request after the last fault"
            else if (answered * 100 < sent * 99)
                print "after the last fault " answered " of " sent " requests were answered"
        }' "$1/faults" "$1/requests"
}

# check_all DIRECTORY SHARDS
check_all() {
    check_coverage "$1" "$2"
    check_once "$1"
    check_attempts "$1"
    check_refusals "$1"
    check_cuts "$1"
    check_configurations "$1"
    check_recovery "$1"
}
