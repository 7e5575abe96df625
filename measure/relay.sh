#!/usr/bin/env bash
# Measures the cost of relaying in one instance for docs/CAPACITY.md: CPU time at
# several request rates and response lengths, memory, and the CPU time of an idle
# instance by number of targets.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/...
run=$(mktemp -d "${TMPDIR:-/tmp}/auburnscale.XXXXXX")
pids=()
trap 'for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$run"' EXIT

echo "a key for measuring only" >"$run/key"
cat >"$run/a.toml" <<TOML
instance = "a"
failure_domain = "d"
initial_voters = [1]
[listen]
caller = "127.0.0.61:7001"
peer = "127.0.0.61:7101"
operator = "127.0.0.61:7201"
[peer]
key_file = "$run/key"
[operator]
key_file = "$run/key"
[[voters]]
id = 1
address = "127.0.0.61:7101"
[voter]
id = 1
data_folder = "$run/data"
TOML
{
    printf 'currency = "AUD"\n[[failure_domains]]\nname = "d"\n[[services]]\nname = "s"\nkind = "engine"\nmodels = ["reader"]\n[[workspaces]]\nname = "w"\n'
    printf '[[keys]]\nid = "w"\nworkspace = "w"\nhash = "%s"\n' "$(printf 'w.secret' | sha256sum | cut -d' ' -f1)"
    for n in 1 2 3 4; do printf '[[targets]]\nname = "t%d"\nservice = "s"\nfailure_domain = "d"\naddress = "127.0.0.%d:8000"\nslots = 64\n' $n $((61 + n)); done
} >"$run/inventory.toml"
printf '[[allow]]\nworkspace = "*"\nservice = "*"\n' >"$run/rules.toml"

for n in 1 2 3 4; do
    ./bin/auburnbench engine --name t$n --listen 127.0.0.$((61 + n)):8000 --slots 64 --step 10ms --decode-stream 50us >/dev/null 2>&1 &
    pids+=($!)
done
./bin/auburnscale serve --settings "$run/a.toml" >"$run/log" 2>&1 &
instance=$!
pids+=($instance)
until ./bin/auburnscale apply --version 1 --inventory "$run/inventory.toml" --rules "$run/rules.toml" --operator 127.0.0.61:7201 --operator-key-file "$run/key" >/dev/null 2>&1; do sleep 0.2; done
until curl -sf http://127.0.0.61:7001/readyz >/dev/null; do sleep 0.1; done

ticks() { awk '{ print $14 + $15 }' "/proc/$instance/stat"; }
resident() { awk '/VmRSS/ { print $2 / 1024 }' "/proc/$instance/status"; }
per_second=$(getconf CLK_TCK)
echo "requests/s  tokens/request    CPU cores   tokens/s  memory MB"
for point in "0 0" "10 100" "20 100" "40 100" "40 10" "80 10"; do
    read -r rate tokens <<<"$point"
    before=$(ticks)
    if [ "$rate" = 0 ]; then
        sleep 10
        sent=0
    else
        cat >"$run/load.toml" <<TOML
addresses = ["127.0.0.61:7001"]
duration = "10s"
[[workspaces]]
name = "w"
key = "w.secret"
share = 1.0
[[phases]]
rate = $rate.0
model = "reader"
prompt_tokens = 400.0
output_tokens = $tokens.0
TOML
        ./bin/auburnbench load "$run/load.toml" --json "$run/result.json" >/dev/null 2>&1
        sent=$(grep -o '"output_tokens": [0-9]*' "$run/result.json" | awk '{ s += $2 } END { print s }')
    fi
    awk -v t=$(($(ticks) - before)) -v hz="$per_second" -v rate="$rate" -v tokens="$tokens" -v sent="$sent" -v mb="$(resident)" \
        'BEGIN { printf "%-11d %-17d %-11.3f %-9.0f %.0f\n", rate, tokens, t / hz / 10, sent / 10, mb }'
done

echo
echo "targets  CPU cores when idle"
version=1
for targets in 4 16 64 128; do
    version=$((version + 1))
    cp "$run/inventory.toml" "$run/more.toml"
    for n in $(seq 5 $targets); do printf '[[targets]]\nname = "t%d"\nservice = "s"\nfailure_domain = "d"\naddress = "127.0.0.%d:8000"\n' "$n" $((62 + n % 4)); done >>"$run/more.toml"
    ./bin/auburnscale apply --version $version --inventory "$run/more.toml" --rules "$run/rules.toml" --operator 127.0.0.61:7201 --operator-key-file "$run/key" >/dev/null
    sleep 2
    before=$(ticks)
    sleep 10
    awk -v t=$(($(ticks) - before)) -v hz="$per_second" -v n=$targets 'BEGIN { printf "%-8d %.3f\n", n, t / hz / 10 }'
done
