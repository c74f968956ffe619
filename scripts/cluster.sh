# Functions that start and stop a cluster of separate processes on loopback addresses.
# Sourced by the other scripts, which set $deployment, $bin (directory of the binaries) and $work
# (directory for settings and logs) first.

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

# Prints the names of the three regions in the order of the settings file.
regions() {
  sed -n 's/^regions *= *//p' "examples/$deployment/entry.ini" | tr -d ' ' | tr ',' ' '
}

stop_cluster() {
  local pid index attempt
  # Stops one process after another, in reverse start order, so the stand-ins stop last.
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    pid=${pids[index]}
    kill -TERM "$pid" 2>/dev/null || true
    for ((attempt = 0; attempt < 100; attempt++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

write_standin_settings() {
  local regions=($(regions)) directory_entries="" index region
  for ((index = 0; index < instances; index++)); do
    region=${regions[$((index % 3))]}
    directory_entries+="${directory_entries:+, }$region-$((index / 3 + 1)) 127.0.0.1:$((peer_port + index)) $region/$region-a"
  done
  cat > "$work/standin.ini" <<EOF
[control]
address = 127.0.0.1:$control_port
[store]
address = 127.0.0.1:$store_port
[directory]
address = 127.0.0.1:$directory_port
instances = $directory_entries
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

# Writes the settings file of instance $1; instances are numbered from 0.
write_instance_settings() {
  local index=$1 regions=($(regions)) region
  region=${regions[$((index % 3))]}
  sed -e "s/^name = .*-1\$/name = $region-$((index / 3 + 1))/" \
    -e "s/^region = .*/region = $region/" \
    -e "s/^data_centre = .*/data_centre = $region-a/" \
    -e "s/^callers_address = .*/callers_address = 127.0.0.1:$((callers_port + index))/" \
    -e "s/^peer_address = .*/peer_address = 127.0.0.1:$((peer_port + index))/" \
    -e "s/^store_addresses = .*/store_addresses = 127.0.0.1:$store_port/" \
    -e "s/^directory_address = .*/directory_address = 127.0.0.1:$directory_port/" \
    -e "s|^secret_file = .*|secret_file = $work/cluster.secret|" \
    -e "s/^policy = .*/policy = ${policy:-fair}/" \
    "examples/$deployment/entry.ini" > "$work/instance-$index.ini"
}

start_instance() {
  local index=$1
  write_instance_settings "$index"
  "$bin/ferry-entry" --settings "$work/instance-$index.ini" 2> "$work/instance-$index.log" &
  pids+=($!)
  instance_pids[index]=$!
}

instance_addresses() {
  local index addresses=""
  for ((index = 0; index < instances; index++)); do
    addresses+="${addresses:+,}127.0.0.1:$((callers_port + index))"
  done
  echo "$addresses"
}

# Waits up to about $1 seconds for each instance in turn to report that it is ready; fails if one
# does not.
wait_ready() {
  local index attempt
  for ((index = 0; index < instances; index++)); do
    for ((attempt = 0; attempt < $1 * 10; attempt++)); do
      "$bin/ferryctl" status --instances "127.0.0.1:$((callers_port + index))" \
        --secret-file "$work/cluster.secret" --format json 2>/dev/null \
        | grep -Eq '"ready": ?true' && break
      sleep 0.1
    done
    ((attempt < $1 * 10)) || fail "instance $index is not ready, see $work/instance-$index.log"
  done
}

start_cluster() {
  local index
  declare -ga instance_pids=()
  [ -s "$work/cluster.secret" ] || od -An -N16 -tx1 /dev/urandom | tr -d ' \n' > "$work/cluster.secret"
  write_standin_settings
  "$bin/ferry-standin" --config "$work/standin.ini" 2> "$work/standin.log" &
  pids+=($!)
  for ((index = 0; index < instances; index++)); do start_instance "$index"; done
  sleep 0.3
  "$bin/ferryctl" apply --store "127.0.0.1:$store_port" --expect-revision 0 \
    --customers "examples/$deployment/customers.ini" --plans "examples/$deployment/plans.ini" \
    || fail "the lists were not applied"
  wait_ready 20
}
