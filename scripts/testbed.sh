# Functions that start the whole system on loopback and end it by process id.
# Sourced by demo and experiment, with `build` set and the root as directory.
dir=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
  echo "$(basename "$0"): $1" >&2
  for log in "$dir"/*.log; do
    echo "--- $(basename "$log")" >&2
    tail -n 5 "$log" >&2
  done
  exit 1
}

# start NAME COMMAND...: runs in the background, logging to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# listening NAME: the address that a stand-in printed.
listening() {
  local n
  for n in $(seq 100); do
    if grep -q '^listening on ' "$dir/$1.log" 2>/dev/null; then
      sed -n 's/^listening on //p' "$dir/$1.log"
      return
    fi
    sleep 0.05
  done
  fail "$1 does not listen"
}

# answers URL: waits until a GET succeeds.
answers() {
  local n
  for n in $(seq 200); do
    if curl -sf -m 1 -o "$dir/last" "$1"; then
      return
    fi
    sleep 0.1
  done
  fail "$1 does not answer"
}

# free_base: first of 20 ports in a row that nothing listens on.
free_base() {
  local base port
  for base in $(shuf -i 20000-32000 -n 20); do
    for port in $(seq "$base" $((base + 19))); do
      if (: <"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
        continue 2
      fi
    done
    echo "$base"
    return
  done
  fail "no free ports"
}

write_settings() {
  local n=$1 at=$((base + 5 * n)) peers
  peers="127.0.0.1:$base,127.0.0.1:$((base + 5)),127.0.0.1:$((base + 10))"
  cat >"$dir/control-$n.ini" <<END
[vm]
name = vm-$n
failure_domain = domain-$n
[platform]
address = $platform
[gossip]
listen = 127.0.0.1:$at
peers = $peers
key = demonstration-key-of-all-vms
[link]
listen = 127.0.0.1:$((at + 1))
[entry]
caller_url = http://127.0.0.1:$((at + 2))
admin = 127.0.0.1:$((at + 3))
[api]
listen = 127.0.0.1:$((at + 4))
token = demonstration-token
END
  cat >"$dir/entry-$n.ini" <<END
[entry]
name = vm-$n
failure_domain = domain-$n
listen = 127.0.0.1:$((at + 2))
listen_admin = 127.0.0.1:$((at + 3))
control = 127.0.0.1:$((at + 1))
[keys]
handle_key = demonstration-key-of-all-entries
END
}

# target NAME KIND ADDRESS DOMAIN MODEL VERSION HARDWARE: one JSON resource.
target() {
  cat <<END
  {"kind": "Target", "metadata": {"name": "$1"}, "spec": {"kind": "$2",
   "address": "$3", "failureDomain": "$4", "model": "$5", "version": "$6",
   "hardware": "$7", "checksFencing": true}}
END
}

write_resources() {
  cat >"$dir/resources.json" <<END
[
  {"kind": "Tier", "metadata": {"name": "gold"},
   "spec": {"rank": 0, "defaultDeadlineMs": 30000}},
  {"kind": "Tier", "metadata": {"name": "silver"},
   "spec": {"rank": 1, "defaultDeadlineMs": 30000}},
  {"kind": "Version", "metadata": {"name": "assistant-1"},
   "spec": {"model": "assistant", "weights": "assistant-1",
            "weightBytes": 8388608}},
  {"kind": "Version", "metadata": {"name": "register-1"},
   "spec": {"model": "register"}},
  {"kind": "Workspace", "metadata": {"name": "annex"},
   "spec": {"tier": "gold", "applications": [
     {"name": "draft", "model": "assistant"},
     {"name": "licence", "model": "register", "idempotent": false}]}},
  {"kind": "Tier", "metadata": {"name": "bronze"},
   "spec": {"rank": 2, "defaultDeadlineMs": 30000}},
  {"kind": "Workspace", "metadata": {"name": "public"},
   "spec": {"tier": "bronze", "applications": [
     {"name": "chat", "model": "assistant"}]}},
  {"kind": "Workspace", "metadata": {"name": "studio"},
   "spec": {"tier": "silver", "applications": [
     {"name": "tag", "model": "assistant"}]}},
$(target engine-1 engine "$engine1" domain-0 assistant assistant-1 new),
$(target engine-2 engine "$engine2" domain-1 assistant assistant-1 middle),
$(target engine-3 engine "$engine3" domain-2 assistant assistant-1 old),
$(target register-1 service "$service" domain-0 register register-1 plain)
]
END
}

# ctl ARGUMENT...: hornbeamcleatctl against the first VM.
ctl() {
  "$build/hornbeamcleatctl" --server "127.0.0.1:$((base + 4))" \
    --token demonstration-token "$@"
}

# start_system: a platform, three VMs with a control and an entry daemon each,
# three engines of unlike speed and one plain service, configured and ready.
start_system() {
  local n
  start platform "$build/fake-platform"
  platform=$(listening platform)
  start engine-1 "$build/fake-engine" --model-version assistant-1 --step 8ms \
    --weight-store "$platform"
  start engine-2 "$build/fake-engine" --model-version assistant-1 --step 15ms \
    --weight-store "$platform"
  start engine-3 "$build/fake-engine" --model-version assistant-1 --step 30ms \
    --weight-store "$platform"
  start register "$build/fake-service" --service-version register-1
  engine1=$(listening engine-1)
  engine2=$(listening engine-2)
  engine3=$(listening engine-3)
  service=$(listening register)

  base=$(free_base)
  for n in 0 1 2; do
    write_settings "$n"
    start "control-$n" "$build/hornbeamcleat-control" \
      --settings "$dir/control-$n.ini"
    start "entry-$n" "$build/hornbeamcleat-entry" --settings "$dir/entry-$n.ini"
  done
  for n in 0 1 2; do
    answers "http://127.0.0.1:$((base + 5 * n + 4))/readyz"
  done
  write_resources
  ctl apply -f "$dir/resources.json" >"$dir/apply.log" || fail "apply failed"
  for n in 0 1 2; do
    answers "http://127.0.0.1:$((base + 5 * n + 3))/readyz"
    answers "http://127.0.0.1:$((base + 5 * n + 2))/v1/addresses"
  done
}

# run_load OPTION...: hornbeamcleat-load against this system.
run_load() {
  "$build/hornbeamcleat-load" --entry "127.0.0.1:$((base + 2))" \
    --engine "$engine1" --engine "$engine2" --engine "$engine3" "$@"
}
