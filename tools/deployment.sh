# Starts stand-ins and entry VMs on loopback ports that the kernel picks.
# Sourced by tools/run and tools/measure, from the repository's root. Whoever
# sources it has `set -euo pipefail`.

build=${MULBERRY_BUILD:-build}
work=$(mktemp -d)
pids=()
end_deployment()
{
    [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap end_deployment EXIT

pause() { read -r -t "$1" <> <(:) || true; }

# start NAME PROGRAM ARGS...: runs it, waits for its line "listening ...",
# leaves the rest of that line in $listening and its id in $started.
start()
{
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>>"$work/$name.log" &
    started=$!
    pids+=("$started")
    until grep -q '^listening' "$work/$name.out" 2>/dev/null; do
        kill -0 "$started" 2>/dev/null ||
            { echo "$0: $name ended at once:" >&2
              cat "$work/$name.log" >&2; exit 1; }
        pause 0.05
    done
    listening=$(sed -n 's/^listening //p' "$work/$name.out")
}

address_of() { sed -n "s/.*$1 \([0-9.:]*\).*/\1/p" <<<"$listening"; }

# choose_deployment trust|chia-deu -small|"": the names and sizes of it.
choose_deployment()
{
    deployment=$1
    size=$2
    case $deployment in
    trust)
        domains=(aswan-a aswan-b edfu) base_model=loglm-base workers=18
        engines=loglm service=recordsvc loads=9 width=4 ;;
    chia-deu)
        domains=(hcm-a hcm-b hcm-c) base_model=ledger-base workers=12
        engines=ledger-llm service=split-api loads=4 width=3 ;;
    esac
    [ -z "$size" ] || workers=6
}

# start_standins FAKE_ENGINE_OPTIONS...
start_standins()
{
    start platform "$build/standins/fake_platform" \
        --loads-per-second "$loads" --loads-at-once "$width"
    platform=${listening#http://}
    start engine "$build/standins/fake_engine" --workers "$engines:$workers" \
        --base-model "$base_model" --fence-every 2 \
        --weights "http://$platform/weights" "$@"
    engine=${listening#http://}
    start service "$build/standins/fake_service" --workers "$service-1" \
        --workers "$service-2" --workers "$service-3"
    plain=${listening#http://}
}

# fill VM DOMAIN FILE: the file with its @TOKENS@ filled in. The whole-size
# declarations name engines and services by addresses of their own, which the
# stand-ins take the place of.
fill()
{
    sed -e "s/@VM@/$1/; s/@DOMAIN@/$2/; s/@ADDRESS@/127.0.0.1/" \
        -e "s/@[A-Z]*_PORT@/0/; s/@PLATFORM@/$platform/" \
        -e "s/@PEERS_KEY@/peers-$$/; s/@OPERATORS_KEY@/operators-$$/" \
        -e "s/@ENGINE@/$engine/; s/@SERVICE@/$plain/" \
        -e "s#http://10[.0-9]*{n}:8000#http://$engine/{id}#" \
        -e "s#\(\"id\": \"\([^\"]*\)\".*\)http://10[.0-9]*:8100#\1http://$plain/\2#" \
        "$3"
}

# start_vm N: entry-N, its id in vm_pids[N], its listeners in callers[N] and
# operators[N]. $extra_settings are further lines of its settings.
callers=() operators=() vm_pids=()
start_vm()
{
    local vm=entry-$1
    fill "$vm" "${domains[$((($1 - 1) % 3))]}" \
        "examples/$deployment/vm.jsonc" |
        sed "s|^  \"vm\":|  ${extra_settings:-}&|" >"$work/$vm.jsonc"
    curl -sf -X PUT "http://$platform/vms/$vm" -d '{"state":"live"}' \
        >/dev/null
    start "$vm" "$build/mulberryd" --settings "$work/$vm.jsonc"
    vm_pids[$1]=$started
    callers[$1]=$(address_of callers)
    operators[$1]=$(address_of operators)
}

ctl()
{
    local address options=()
    for address in "${operators[@]}"; do
        options+=(--operators "$address")
    done
    echo "operators-$$" >"$work/key"
    "$build/mulberryctl" "${options[@]}" --key-file "$work/key" "$@"
}

# confirm_plan: confirms $work/plan. A VM that has just started gives no
# promises yet, so the first tries may be refused; nothing is changed by a
# refused one.
confirm_plan()
{
    local try
    for try in 1 2 3 4 5 6 7 8 9 10; do
        ctl confirm "$work/plan" && return
        pause 1
    done
    echo "$0: the plan was not confirmed" >&2
    exit 1
}

wait_until_serving()
{
    local address
    for address in "${callers[@]}"; do
        # Not grep -q: it stops reading, and curl fails for it.
        until curl -sf "http://$address/v1/models" | grep -c '@' >/dev/null; do
            pause 0.1
        done
    done
}
