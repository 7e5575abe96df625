#!/usr/bin/env bash
# Builds auburnscale, starts two failure domains of two instances each on loopback
# addresses with stand-in targets, and checks the system end to end.
# --keep leaves everything running and prints the addresses.
set -u
cd "$(dirname "$0")"

keep=no
[ "${1:-}" = "--keep" ] && keep=yes

mkdir -p bin
go build -o bin/ ./cmd/... || exit 1
run=$(mktemp -d "${TMPDIR:-/tmp}/auburnscale.XXXXXX")
pids=()
failed=0

stop_all() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    [ -n "${KEEP_RUN:-}" ] || rm -rf "$run"
}
trap 'stop_all; exit 130' INT TERM

start() { # start NAME COMMAND...: runs the command in the background and records its PID
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
    echo $! >"$run/$name.pid"
}

row() { # row TEXT COMMAND...: runs the check and prints its result as a row of the table
    local text=$1 begin end result
    shift
    begin=$(date +%s%N)
    if "$@" >"$run/row.log" 2>&1; then result=ok; else
        result=FAILED
        failed=1
    fi
    end=$(date +%s%N)
    printf '%-74s %-7s %6d ms\n' "$text" "$result" $(((end - begin) / 1000000))
    [ $result = FAILED ] && { tail -8 "$run/row.log" | sed "s/^/    /"; echo; }
    return 0
}

until_ok() { # until_ok SECONDS COMMAND...: retries the command until it succeeds or time is up
    local limit=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -ge $limit ] && return 1
        sleep 0.1
    done
}

ip_a1=127.0.0.11 ip_a2=127.0.0.12 ip_b1=127.0.0.13 ip_b2=127.0.0.14
instances="a1 a2 b1 b2"
ip() { local name="ip_$1"; echo "${!name}"; }
caller() { echo "http://$(ip "$1"):7001"; }

head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/peer.key"
head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/operator.key"

settings() { # settings NAME DOMAIN VOTER
    cat >"$run/$1.toml" <<TOML
instance = "$1"
failure_domain = "$2"
initial_voters = [1, 2, 3]

[listen]
caller = "$(ip "$1"):7001"
peer = "$(ip "$1"):7101"
operator = "$(ip "$1"):7201"

[peer]
key_file = "$run/peer.key"

[operator]
key_file = "$run/operator.key"

[[voters]]
id = 1
address = "$ip_a1:7101"

[[voters]]
id = 2
address = "$ip_a2:7101"

[[voters]]
id = 3
address = "$ip_b1:7101"

[platform]
address = "127.0.0.20:9000"
honours_fencing = true
usage_window = "4s"
usage_grace = "2s"

[control]
drain_notice = "500ms"
TOML
    [ "$3" -gt 0 ] && printf '\n[voter]\nid = %d\ndata_folder = "%s/%s.data"\n' "$3" "$run" "$1" >>"$run/$1.toml"
    return 0
}
settings a1 hobart 1
settings a2 hobart 2
settings b1 launceston 3
settings b2 launceston 0

new_key() { # new_key ID WORKSPACE: writes the key to ID.key and prints its inventory entry
    ./bin/auburnscale key new --id "$1" --workspace "$2" >"$run/$1.new" || return 1
    sed -n 's/^# \('"$1"'\..*\)$/\1/p' "$run/$1.new" >"$run/$1.key"
    grep -v '^#' "$run/$1.new"
}

cat >"$run/inventory.toml" <<TOML
currency = "AUD"

[[failure_domains]]
name = "hobart"

[[failure_domains]]
name = "launceston"

[[services]]
name = "reading"
kind = "engine"
models = ["reader"]

[[services]]
name = "order-desk"
kind = "plain"
non_idempotent = ["POST /orders"]

[[workspaces]]
name = "guild"
weight = 2.0

[[workspaces]]
name = "venue"
TOML
number=0
for domain in hobart launceston; do
    for service in reading reading order-desk; do
        number=$((number + 1))
        printf '\n[[targets]]\nname = "t%d"\nservice = "%s"\nfailure_domain = "%s"\naddress = "127.0.0.%d:8000"\nhonours_fencing = true\ntoken_cost = 300\n' \
            $number $service $domain $((30 + number)) >>"$run/inventory.toml"
    done
done
new_key guild1 guild >>"$run/inventory.toml"
new_key venue1 venue >>"$run/inventory.toml"
new_key venue2 venue >>"$run/inventory.toml"
cat >"$run/rules.toml" <<TOML
[[allow]]
workspace = "guild"
service = "*"

[[allow]]
workspace = "venue"
service = "reading"
TOML
cp "$run/rules.toml" "$run/rules2.toml"
printf '\n[[allow]]\nworkspace = "venue"\nservice = "order-desk"\n' >>"$run/rules2.toml"

for n in 1 2 4 5; do start t$n ./bin/auburnbench engine --name t$n --listen 127.0.0.$((30 + n)):8000 --seed $n; done
for n in 3 6; do start t$n ./bin/auburnbench service --name t$n --listen 127.0.0.$((30 + n)):8000; done
start platform ./bin/auburnbench platform --listen 127.0.0.20:9000
for i in $instances; do start "$i" ./bin/auburnscale serve --settings "$run/$i.toml"; done

operator="$ip_a1:7201,$ip_a2:7201,$ip_b1:7201,$ip_b2:7201"
tool() { # tool VERB ARGS...: runs an operator command with the access flags
    ./bin/auburnscale "$@" --operator "$operator" --operator-key-file "$run/operator.key" --actor quickstart
}
apply() { tool apply --version "$1" --inventory "$run/inventory.toml" --rules "$run/$2"; }
post() { # post INSTANCE KEY PATH BODY CURLARGS...
    local instance=$1 key=$2 path=$3 body=$4
    shift 4
    curl -sS -N --max-time 30 "$@" -H "Authorization: Bearer $(cat "$run/$key.key")" -H 'Content-Type: application/json' -d "$body" "$(caller "$instance")$path"
}
chat() { # chat INSTANCE KEY TOKENS STREAM
    post "$1" "$2" /v1/chat/completions '{"model":"reader","stream":'"$4"',"max_tokens":'"$3"',"messages":[{"role":"user","content":"Which clauses name dairy?"}]}'
}

alive() { # every started process is still running after half a second
    sleep 0.5
    local f
    for f in "$run"/*.pid; do kill -0 "$(cat "$f")" || { tail -3 "${f%.pid}.log"; return 1; }; done
}
applied_first() { apply 1 rules.toml | tee "$run/apply1.log"; grep -q '^in force at: a1, a2, b1, b2$' "$run/apply1.log"; }
ready() { for i in $instances; do curl -sSf --max-time 2 "$(caller "$i")/readyz" || return 1; done; }
# Lines with "true" in the output of status: four live instances and six targets up.
targets_up() { [ "$(tool status | grep -c ' true ')" -ge 10 ]; }
streams() {
    chat a1 guild1 40 true >"$run/stream.txt"
    grep -q '^data: \[DONE\]$' "$run/stream.txt" && [ "$(grep -c '"content":"w' "$run/stream.txt")" = 40 ]
}
non_streaming() { chat b2 venue1 25 false | tee "$run/non_streaming.txt" | grep -q '"completion_tokens":25,'; }
bad_key() {
    echo guild1.wrong >"$run/wrong.key"
    chat a2 wrong 5 false | tee "$run/bad.txt" | grep '"code":"key_invalid"' | grep -q '"not_run":true'
}
order() { post "$1" "$2" /s/order-desk/orders '{"flowers":"white","room":4}' -H "Idempotency-Key: $3"; }
ordered_once() {
    order a1 guild1 load-in-7 >"$run/order1.txt" && order b2 guild1 load-in-7 >"$run/order2.txt" || return 1
    cat "$run/order1.txt" "$run/order2.txt"
    grep -q '"confirmation"' "$run/order1.txt" && cmp "$run/order1.txt" "$run/order2.txt" && [ "$(runs)" = 1 ]
}
runs() { for n in 3 6; do curl -sS "http://127.0.0.$((30 + n)):8000/runs"; echo; done | grep -o '"runs":[0-9]*' | awk -F: '{ sum += $2 } END { print sum + 0 }'; }
conflict() {
    apply 1 rules2.toml >"$run/conflict.txt" && return 1
    cat "$run/conflict.txt"
    grep -q 'version 1 was accepted with digest' "$run/conflict.txt"
}
rule_change() {
    order a2 venue1 venue-1 | tee "$run/before.txt" | grep -q '"code":"not_allowed"' || return 1
    apply 2 rules2.toml || return 1
    order b1 venue1 venue-1 | tee "$run/after.txt" | grep -q '"confirmation"'
}
withdrawn() {
    chat b1 venue2 3 false | grep -q '"completion_tokens":3' || return 1
    tool key withdraw venue2 | tee "$run/withdraw.txt" | grep -q 'no instance serves it any more' || return 1
    for i in $instances; do chat "$i" venue2 3 false | grep -q '"code":"key_withdrawn"' || return 1; done
}
leader() { tool status --json | sed -n 's/^ *"leader": \([0-9]*\),$/\1/p'; }
leader_killed() {
    local old names=(- a1 a2 b1)
    old=$(leader)
    [ "$old" -ge 1 ] || return 1
    killed=${names[$old]}
    echo "$killed" >"$run/killed"
    kill -KILL "$(cat "$run/$killed.pid")"
    until_ok 10 new_leader "$old"
}
new_leader() { local now; now=$(leader) && [ -n "$now" ] && [ "$now" != 0 ] && [ "$now" != "$1" ]; }
survivor() { for i in b2 b1 a2 a1; do [ "$i" = "$(cat "$run/killed")" ] || { echo "$i"; return; }; done; }
order_survives() { order "$(survivor)" guild1 load-in-7 >"$run/order3.txt" && cat "$run/order3.txt" && cmp "$run/order1.txt" "$run/order3.txt" && [ "$(runs)" = 2 ]; }
change_survives() { apply 3 rules.toml | tee "$run/apply3.log" | grep -q '^accepted$'; }
restarted() {
    local i
    i=$(cat "$run/killed")
    start "$i" ./bin/auburnscale serve --settings "$run/$i.toml"
    until_ok 10 curl -sSf --max-time 2 "$(caller "$i")/readyz"
}
leader_paused() { # a leader suspended during a configuration change must apply it once resumed
    local old names=(- a1 a2 b1) paused
    old=$(leader)
    [ "$old" -ge 1 ] || return 1
    paused=${names[$old]}
    kill -STOP "$(cat "$run/$paused.pid")"
    operator=$(echo "$operator" | tr , '\n' | grep -v "^$(ip "$paused"):" | paste -sd,)
    until_ok 10 new_leader "$old" && apply 4 rules2.toml
    local changed=$?
    kill -CONT "$(cat "$run/$paused.pid")"
    [ $changed = 0 ] && until_ok 10 follows "$paused" && until_ok 10 order_at "$paused"
}
follows() { # the resumed instance has the version accepted while it was suspended
    ./bin/auburnscale status --json --operator "$(ip "$1"):7201" --operator-key-file "$run/operator.key" | grep -q '^  "asked_version": 4,$'
}
order_at() { order "$1" guild1 load-in-7 >"$run/order4.txt" && cmp "$run/order1.txt" "$run/order4.txt" && [ "$(runs)" = 2 ]; }
planned_stop() {
    chat b2 guild1 200 true >"$run/long.txt" &
    local stream=$!
    sleep 0.3
    kill -TERM "$(cat "$run/b2.pid")"
    wait $stream || return 1
    wait "$(cat "$run/b2.pid")" || return 1
    grep -q '^data: \[DONE\]$' "$run/long.txt" && [ "$(grep -c '"content":"w' "$run/long.txt")" = 200 ]
}
# The callers received 40 + 25 + 3 + 200 output tokens: 28 of them workspace venue,
# the others workspace guild.
billed() { curl -sS http://127.0.0.20:9000/v1/record >"$run/record.json" && [ "$(tokens guild)" = 240 ] && [ "$(tokens venue)" = 28 ]; }
tokens() { grep -o "\"workspace\":\"$1\",\"prompt_tokens\":[0-9]*,\"output_tokens\":[0-9]*" "$run/record.json" | awk -F: '{ sum += $NF } END { print sum + 0 }'; }
usage_matches() { until_ok 25 billed && grep -q '"breaches":\[\]' "$run/record.json"; }
audited() { tool trail | tee "$run/trail.txt" | grep -q 'withdraw_key' && grep -q 'version 3' "$run/trail.txt"; }

printf '%-74s %-7s %9s\n' "check" "result" "time"
row "ten processes and the platform start and keep running" alive
[ $failed = 1 ] && { stop_all; exit 1; }
row "a configuration is applied and in force at all four instances" until_ok 20 applied_first
row "all four instances report that they are ready" until_ok 10 ready
row "all six targets are up" until_ok 10 targets_up
row "a stream of 40 tokens is complete" streams
row "an unstreamed response from the other failure domain is complete" non_streaming
row "a request with a wrong key is refused and reported as not run" bad_key
row "an order retried through another instance runs once" ordered_once
row "another configuration with a version already accepted is a conflict" conflict
row "a changed rule is in force when apply returns" rule_change
row "a withdrawn key is refused by every instance" withdrawn
row "the control leader is killed and another one is elected" leader_killed
row "the order's confirmation survives, and a retry does not run it again" order_survives
row "the new leader accepts a configuration" change_survives
row "the killed instance restarts and is ready" restarted
row "a leader suspended during a change applies it once resumed" leader_paused
row "a graceful shutdown truncates no stream" planned_stop
row "the reported usage equals what the callers received" usage_matches
row "the audit trail holds the key withdrawal and the configuration" audited

if [ $keep = yes ]; then
    trap - INT TERM
    cat <<TEXT

All processes keep running; their files are in $run.
  callers:    $(for i in a1 a2 b1; do printf '%s ' "$(caller $i)"; done)
  operators:  ./bin/auburnscale status --operator $operator --operator-key-file $run/operator.key
  caller key: $(cat "$run/guild1.key")
  to stop:    kill $(for f in "$run"/*.pid; do kill -0 "$(cat "$f")" 2>/dev/null && cat "$f"; done | paste -sd' '); rm -r $run
TEXT
else
    stop_all
fi
exit $failed
