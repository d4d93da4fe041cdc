#!/usr/bin/env bash
# Runs a small cell on loopback under load and faults, prints the measurements and exits.
set -euo pipefail
cd "$(dirname "$0")"
tools/packages.sh
tools/build.sh

bin="${BUILD_DIR:-build}/bin"
port="${DEMO_PORT:-21000}"
work="$(mktemp -d)"
pids=()
declare -A pid_of

# Starts a program in the background: start NAME PROGRAM ARGUMENTS...
start() {
    local name="$1"
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=("$!")
    pid_of[$name]=$!
}

cleanup() {
    # Bash reports each killed job on standard error.
    exec 2>/dev/null
    local pid
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" || true
        wait "$pid" || true
    done
    rm -rf "$work"
}
trap cleanup EXIT

say() {
    printf '%4ss  %s\n' "$((SECONDS - began))" "$*"
}

ctl() {
    GOOSEBERRYWALL_TOKEN=demo-operator-token "$bin/gooseberrywallctl" \
        --admin "127.0.0.1:$((port + 301))" "$@"
}

# upstream SERVICE NUMBER: starts the stand-in of one upstream.
upstream_ports=()
upstream() {
    local address="127.0.0.1:$((port + 100 + ${#upstream_ports[@]}))"
    upstream_ports+=("$address")
    mkdir -p "$work/$1"
    start "$1-$2" "$bin/gooseberrywall-upstream-stub" --id "$1-$2" --service "$1" \
        --run-log "$work/$1/$1-$2.runs" \
        --domain "north-$((($2 - 1) % 3 + 1))" --listen "$address" --platform "127.0.0.1:$port"
}

# daemon NUMBER: writes the settings of a daemon and starts it.
daemon() {
    cat >"$work/d$1.ini" <<INI
[daemon]
id = d$1
failure_domain = north-$1
caller_listen = 127.0.0.1:$((port + 200 + $1))
admin_listen = 127.0.0.1:$((port + 300 + $1))
peer_listen = 127.0.0.1:$((port + 400 + $1))
[peers]
seeds = d1@127.0.0.1:$((port + 401)), d2@127.0.0.1:$((port + 402)), d3@127.0.0.1:$((port + 403))
secret = demo-cell-secret
[platform]
address = 127.0.0.1:$port
[admin]
operator_token = demo-operator-token
INI
    start "d$1" "$bin/gooseberrywalld" --config "$work/d$1.ini"
}

# configure FILE: submits the sections in FILE and waits until all daemons apply them.
configure() {
    local generation
    ctl config set "$1" | tee "$work/set.txt"
    generation="$(sed -n 's/.*generation \([0-9]*\).*/\1/p' "$work/set.txt" | tail -n 1)"
    ctl config wait "$generation"
}

# value FILE NAME: prints the number of the field NAME in the audit line of the report FILE.
value() {
    sed -n "s/^audit: .*\"$2\":\([0-9]*\).*/\1/p" "$1"
}

# summary SERVICE FILE: summarizes the load tool's report FILE for one service.
summary() {
    echo "$1"
    awk '
        $1 == "requests" { sent = $2 }
        $1 == "answer" { answered = $2 }
        $1 == "refused" { refused = $2 }
        $1 == "unknown" { unknown = $2 }
        $1 == "wrong_answer" || $1 == "not_sent" || $1 == "no_answer" { other += $2 }
        /^    [a-z]/ { reasons = reasons (reasons == "" ? "" : ", ") $1 " " $2 }
        /^longest unavailability/ { sub("longest unavailability ms: ", ""); gap = $0 }
        END {
            print "  served:                    " answered + 0 " of " sent
            print "  refused:                   " refused + 0
            print "  unknown:                   " unknown + 0
            print "  other ends:                " other + 0
            print "  reasons:                   " (reasons == "" ? "none" : reasons)
            print "  longest unavailability ms: " (gap == "" ? "none seen" : gap)
        }' "$2"
    echo "  runs audited:              $(value "$2" runs)"
    echo "  duplicate runs:            $(value "$2" double_runs)"
    echo "  two owners:                $(value "$2" overlapping_owners)"
    echo "  refused but run:           $(value "$2" refused_but_run)"
}

wait_until_served() {
    local service
    for service in fitment stockdesk; do
        for _ in $(seq 100); do
            if curl -s -o /dev/null -f -m 2 -X POST -H 'X-Idempotent: true' \
                "http://127.0.0.1:$((port + 203))/v1/services/$service/keys/first"; then
                continue 2
            fi
            sleep 0.1
        done
        echo "service $service is not served; see $work" >&2
        exit 1
    done
}

wait_until_ready() {
    for _ in $(seq 100); do
        if ctl status --json 2>/dev/null | grep -q '"coordinator": "d'; then
            return
        fi
        sleep 0.1
    done
    echo "no coordinator after 10 seconds" >&2
    exit 1
}

began=$SECONDS
say "starting the platform's stand-in, six upstreams and three daemons in three failure domains"
start platform "$bin/gooseberrywall-platform-stub" --listen "127.0.0.1:$port"
sleep 0.3
for number in 1 2 3; do
    upstream fitment "$number"
    upstream stockdesk "$number"
done
for number in 1 2 3; do
    daemon "$number"
done
wait_until_ready
say "writing the operators' document: a team and its two services"
cat >"$work/sections.ini" <<INI
[team gaskets]
contact = counter 3
[service fitment]
owner = gaskets
shard_count = 32
[service stockdesk]
owner = gaskets
shard_count = 32
INI
configure "$work/sections.ini"
wait_until_served
ctl status

targets="127.0.0.1:$((port + 201)),127.0.0.1:$((port + 202)),127.0.0.1:$((port + 203))"
fitment_upstreams="127.0.0.1:$((port + 100)),127.0.0.1:$((port + 102)),127.0.0.1:$((port + 104))"
stockdesk_upstreams="127.0.0.1:$((port + 101)),127.0.0.1:$((port + 103)),127.0.0.1:$((port + 105))"
say "sending look-ups to fitment and reservations to stockdesk through all three daemons"
"$bin/gooseberrywall-load" --targets "$targets" --service fitment --rate 300 --duration-s 16 \
    --idempotent-share 1 --keys 500 --seed 1 --audit-interval-ms 500 \
    --run-logs "$work/fitment" --ask-outcomes \
    --upstreams "$fitment_upstreams,127.0.0.1:$((port + 106))" >"$work/lookups.txt" 2>&1 &
lookups=$!
"$bin/gooseberrywall-load" --targets "$targets" --service stockdesk --rate 200 --duration-s 16 \
    --idempotent-share 0 --keys 500 --seed 2 --audit-interval-ms 500 \
    --run-logs "$work/stockdesk" --ask-outcomes \
    --upstreams "$stockdesk_upstreams" >"$work/reservations.txt" 2>&1 &
reservations=$!
pids+=("$lookups" "$reservations")

sleep 2
say "freezing upstream fitment-2 (SIGSTOP)"
kill -STOP "${pid_of[fitment-2]}"
sleep 4
say "killing upstream stockdesk-2 (SIGKILL)"
{
    kill -KILL "${pid_of[stockdesk-2]}"
    wait "${pid_of[stockdesk-2]}" || true
} 2>/dev/null
sleep 2
say "adding upstream fitment-4, and letting fitment-2 go on"
upstream fitment 4
kill -CONT "${pid_of[fitment-2]}"
sleep 4
say "draining upstream fitment-3"
ctl drain fitment-3
wait "$lookups" || true
wait "$reservations" || true

echo
echo "== look-ups (idempotent) on fitment"
cat "$work/lookups.txt"
echo "== reservations (not idempotent) on stockdesk"
cat "$work/reservations.txt"
echo "== the cell afterwards"
ctl status
echo "== shutting down daemon d1 gracefully"
kill -TERM "${pid_of[d1]}"
wait "${pid_of[d1]}"
echo "== summary"
summary "fitment: look-ups (idempotent)" "$work/lookups.txt"
summary "stockdesk: reservations (not idempotent)" "$work/reservations.txt"
say "done"
