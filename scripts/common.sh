# Builds the programs, starts the stand-in platform on loopback, and defines
# functions that start stand-ins, agents and entries. Sourced by the other scripts;
# all started processes are stopped when the script exits.

cargo build --release --workspace --quiet
bin=target/release
work=$(mktemp -d)
# Bearer token of the workspace in examples/klyuchar.yaml.
token=kiosk-demo-token
pids=()

stop_all() {
    if [ "${#pids[@]}" -gt 0 ]; then
        kill "${pids[@]}" 2>/dev/null || true
        wait "${pids[@]}" 2>/dev/null || true
    fi
    rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
}

wait_ready() { # ADMIN-ADDRESS
    for _ in $(seq 100); do
        curl -fsS "http://$1/readyz" >/dev/null 2>&1 && return
        sleep 0.1
    done
    echo "$1 did not become ready" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

platform=127.0.0.1:17000
start platform "$bin/clementine-standin" platform --listen $platform

# EndpointSlices of the started agents, as JSON.
slices=()
backend() { # NAME POOL DOMAIN PORT STANDIN-ARGS...; a backend server with its agent
    local name=$1 pool=$2 domain=$3 port=$4
    shift 4
    start "$name" "$bin/clementine-standin" "$1" --listen "127.0.0.1:$port" "${@:2}"
    start "agent-$name" "$bin/clementine-agent" --listen "127.0.0.1:$((port + 100))" \
        --admin-listen "127.0.0.1:$((port + 200))" --backend "http://127.0.0.1:$port" \
        --pool "$pool" --domain "$domain" --leave-notice 0ms
    slices+=("{\"metadata\":{\"labels\":{\"kubernetes.io/service-name\":\"$pool\"}},
        \"endpoints\":[{\"addresses\":[\"127.0.0.1\"],\"zone\":\"$domain\"}],
        \"ports\":[{\"port\":$((port + 100))}]}")
}
publish_list() { # sends the slices to the platform's instance list
    local list
    list=$(IFS=,; echo "{\"items\":[${slices[*]}]}")
    for _ in $(seq 100); do
        curl -fsS -X PUT "http://$platform/instances" -d "$list" >/dev/null 2>&1 && return
        sleep 0.1
    done
}

entry() { # NUMBER
    start "entry-$1" "$bin/clementine-entry" --listen 127.0.0.1:1708$1 --domain "sofia-$1" \
        --admin-listen 127.0.0.1:1709$1 --table-url "http://$platform/" \
        --objects-url "http://$platform/objects" --instances-url "http://$platform/instances" \
        --leave-notice 0ms
    entry_pid=$!
    wait_ready 127.0.0.1:1709$1
}
