# Starts and stops a small cluster of separate processes on loopback addresses.
# Sourced by the other scripts; expects $deployment, $bin and $work to be set.

instances=${instances:-6}
workers=${workers:-48}
store_port=${store_port:-2379}
directory_port=${directory_port:-2400}
control_port=${control_port:-2401}
worker_port=${worker_port:-20000}
callers_port=${callers_port:-7001}
peer_port=${peer_port:-7101}
pids=()

fail() {
  echo "$*" >&2
  exit 1
}

# Names of the three regions, in the order of the settings file.
regions() {
  sed -n 's/^regions *= *//p' "examples/$deployment/entry.ini" | tr -d ' ' | tr ',' ' '
}

stop_cluster() {
  local pid n try
  # Instances in turn, then the stand-ins, which were started first.
  for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
    pid=${pids[n]}
    kill -TERM "$pid" 2>/dev/null || true
    for ((try = 0; try < 100; try++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

write_standin_settings() {
  local regions=($(regions)) entries="" n region
  for ((n = 0; n < instances; n++)); do
    region=${regions[$((n % 3))]}
    entries+="${entries:+, }$region-$((n / 3 + 1)) 127.0.0.1:$((peer_port + n)) $region/$region-a"
  done
  cat > "$work/standin.ini" <<EOF
[control]
address = 127.0.0.1:$control_port
[store]
address = 127.0.0.1:$store_port
[directory]
address = 127.0.0.1:$directory_port
instances = $entries
[workers]
count = $workers
workers_per_rack = 8
first_address = 127.0.0.1:$worker_port
data_centres = ${regions[0]}/${regions[0]}-a, ${regions[1]}/${regions[1]}-a, ${regions[2]}/${regions[2]}-a
processors_milli = ${processors_milli:-64000}
memory_mb = ${memory_mb:-262144}
slots = 8
connections = 64
EOF
}

# Writes the settings of instance $1, counted from 0.
write_instance_settings() {
  local n=$1 regions=($(regions)) region
  region=${regions[$((n % 3))]}
  sed -e "s/^name = .*-1\$/name = $region-$((n / 3 + 1))/" \
    -e "s/^region = .*/region = $region/" \
    -e "s/^data_centre = .*/data_centre = $region-a/" \
    -e "s/^callers_address = .*/callers_address = 127.0.0.1:$((callers_port + n))/" \
    -e "s/^peer_address = .*/peer_address = 127.0.0.1:$((peer_port + n))/" \
    -e "s/^store_addresses = .*/store_addresses = 127.0.0.1:$store_port/" \
    -e "s/^directory_address = .*/directory_address = 127.0.0.1:$directory_port/" \
    -e "s|^secret_file = .*|secret_file = $work/cluster.secret|" \
    -e "s/^policy = .*/policy = ${policy:-fair}/" \
    "examples/$deployment/entry.ini" > "$work/instance-$n.ini"
}

start_instance() {
  local n=$1
  write_instance_settings "$n"
  "$bin/ferry-entry" --settings "$work/instance-$n.ini" 2> "$work/instance-$n.log" &
  pids+=($!)
  instance_pids[n]=$!
}

instance_addresses() {
  local n list=""
  for ((n = 0; n < instances; n++)); do
    list+="${list:+,}127.0.0.1:$((callers_port + n))"
  done
  echo "$list"
}

# Waits until every instance answers that it is ready; $1 is the number of seconds at most.
wait_ready() {
  local n try
  for ((n = 0; n < instances; n++)); do
    for ((try = 0; try < $1 * 10; try++)); do
      "$bin/ferryctl" status --instances "127.0.0.1:$((callers_port + n))" \
        --secret-file "$work/cluster.secret" --format json 2>/dev/null \
        | grep -Eq '"ready": ?true' && break
      sleep 0.1
    done
    ((try < $1 * 10)) || fail "instance $n is not ready, see $work/instance-$n.log"
  done
}

start_cluster() {
  local n
  declare -ga instance_pids=()
  [ -s "$work/cluster.secret" ] || od -An -N16 -tx1 /dev/urandom | tr -d ' \n' > "$work/cluster.secret"
  write_standin_settings
  "$bin/ferry-standin" --config "$work/standin.ini" 2> "$work/standin.log" &
  pids+=($!)
  for ((n = 0; n < instances; n++)); do start_instance "$n"; done
  sleep 0.3
  "$bin/ferryctl" apply --store "127.0.0.1:$store_port" --expect-revision 0 \
    --customers "examples/$deployment/customers.ini" --plans "examples/$deployment/plans.ini" \
    || fail "the lists were not applied"
  wait_ready 20
}
