# The relay on a stand-in of the users' platform; sourced by tools/run.

# run_on_platform VMS KEEP: starts the stand-in and VMs, sends a request of
# each kind and prints the answers. Ends what it started. Fails when a request
# is not served.
run_on_platform()
{
    local vms=$1 keep=$2 build=${MULBERRY_BUILD:-build} n callers store
    tools/build mulberryd mulberryctl fake_site
    folder=$(mktemp -d)
    started=()
    trap 'kill "${started[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$folder"' EXIT
    "$build/platform/fake_site" >"$folder/site.out" &
    started+=($!)
    store=$(await_word "$folder/site.out" store)
    echo "stand-in store at $store"
    for ((n = 1; n <= vms; ++n)); do
        cat >"$folder/vm-$n.json" <<JSON
{
    "vm": "vm-$n", "domain": "zone-a",
    "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
    "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0",
    "store_url": "$store", "order_gap_ms": 500
}
JSON
        "$build/mulberryd" --relay --settings "$folder/vm-$n.json" \
            >"$folder/vm-$n.out" &
        started+=($!)
    done
    for ((n = 1; n <= vms; ++n)); do
        callers=$(await_word "$folder/vm-$n.out" callers)
        echo "vm-$n takes callers at $callers"
    done
    await_line "$folder/vm-1.out" "worker owned"
    send "$callers" "a stream" /stream/x "Model: base/a1"
    send "$callers" "a resumable stream" /resumable/x "Model: base/a2"
    send "$callers" "the base model" /stream/x "Model: base"
    send "$callers" "a call that may run once" /once/x "Accept: */*"
    send "$callers" "a call that may be repeated" /again/x "Accept: */*"
    [ "$keep" = no ] || { echo "Ctrl-C ends it"; wait; }
}

# send CALLERS WHAT PATH HEADER
send()
{
    echo "== $2"
    curl -sS --fail -X POST -H "Request-Id: run-$RANDOM" \
        -H "Deadline-Ms: 4000" -H "$4" -d note "http://$1$3"
    echo
}

# await_line FILE TEXT
await_line()
{
    local tries
    for ((tries = 0; tries < 300; ++tries)); do
        grep -q "$2" "$1" 2>/dev/null && return
        sleep 0.1
    done
    echo "tools/run: no '$2' in $1" >&2
    return 1
}

# await_word FILE NAME: the word after NAME in its line "listening ..."
await_word()
{
    await_line "$1" "^listening" || return 1
    sed -n "s/^listening.* $2 \([^ ]*\).*/\1/p; s/^listening $2 \([^ ]*\).*/\1/p" "$1" | head -1
}
