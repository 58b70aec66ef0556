#!/usr/bin/env bash
# Sets up, starts a small fleet on loopback (one control host, two entry hosts,
# three stand-in backend servers), applies declarations, sends requests and
# prints what came back. Everything it started ends with it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
bin=$PWD/build/bin
run=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$run"
}
trap cleanup EXIT

start() {
  local name=$1
  shift
  "$@" 2>"$run/$name.log" &
  pids+=($!)
}

operator_key=demo-operator-key
caller_key=demo-caller-key
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

cat >"$run/control.json" <<JSON
{ "role": "control", "data_folder": "$run/data",
  "fleet_secret": "demo-fleet-secret",
  "lease_voters": ["entry-1"],
  "first_operator_sha256": "$(digest $operator_key)" }
JSON
cat >"$run/entry-1.json" <<JSON
{ "role": "entry", "host_id": "entry-1", "zone": "kochi",
  "fleet_secret": "demo-fleet-secret", "lease_voters": ["entry-1"] }
JSON
cat >"$run/entry-2.json" <<JSON
{ "role": "entry", "host_id": "entry-2", "zone": "thrissur",
  "fleet_secret": "demo-fleet-secret", "lease_voters": ["entry-1"],
  "seeds": [{"id": "entry-1", "ip": "127.0.0.1", "port": 7071}],
  "listeners": {
    "callers": {"ip": "127.0.0.1", "port": 7170},
    "fleet": {"ip": "127.0.0.1", "port": 7171},
    "datagrams": {"ip": "127.0.0.1", "port": 7171},
    "announcements": {"ip": "127.0.0.1", "port": 7172},
    "metrics": {"ip": "127.0.0.1", "port": 7173},
    "forwards": {"ip": "127.0.0.1", "port": 7174} } }
JSON
cat >"$run/declarations.jsonc" <<JSON
{
  "zones": {"kochi": {"region": "kerala"}, "thrissur": {"region": "kerala"}},
  "services": {"permit-desk": {}},
  "routes": {
    "lookup": {"methods": ["GET"], "path_prefix": "/permits",
               "service": "permit-desk", "idempotent": true},
    "fee": {"methods": ["POST"], "path_prefix": "/permits",
            "service": "permit-desk"}
  },
  "workspaces": {"panchayat-north": {"rate": "20/s", "burst": 40}},
  "keys": {"north-1": {"workspace": "panchayat-north",
                       "sha256": "$(digest $caller_key)"}},
  "operators": {"desk": {"sha256": "$(digest $operator_key)"}}
}
JSON

echo "== starting the fleet"
start control "$bin/sapphirebankd" --settings "$run/control.json"
start entry-1 "$bin/sapphirebankd" --settings "$run/entry-1.json"
start entry-2 "$bin/sapphirebankd" --settings "$run/entry-2.json"
for server in 1:kochi 2:kochi 3:thrissur; do
  start "server-${server%%:*}" "$bin/stand_in_backend" \
    --id "server-${server%%:*}" --service permit-desk --zone "${server##*:}" \
    --announce-to 127.0.0.1:7072 127.0.0.1:7172
done

export SAPPHIREBANK_OPERATOR_KEY=$operator_key
echo "== applying declarations"
until "$bin/sapphirebank" apply "$run/declarations.jsonc" 2>"$run/apply.log"; do
  sleep 0.3
done

ask() { "$bin/caller" --address "$1" --key "$caller_key" "${@:2}"; }
echo "== waiting for the first answer"
until ask 127.0.0.1:7070 GET /permits/1 >/dev/null 2>&1 &&
  ask 127.0.0.1:7170 GET /permits/1 >/dev/null 2>&1; do
  sleep 0.3
done

echo "== which addresses a caller should use"
ask 127.0.0.1:7170 GET /.sapphirebank/lookup/permit-desk
echo "== a lookup through each entry host"
ask 127.0.0.1:7070 GET /permits/17
ask 127.0.0.1:7170 GET /permits/17
echo "== a fee, sent twice under one idempotency key, through two hosts"
ask 127.0.0.1:7070 POST /permits/17/fee --body amount=50 --idempotency-key fee-17
ask 127.0.0.1:7170 POST /permits/17/fee --body amount=50 --idempotency-key fee-17
echo "== a key that nobody gave out"
"$bin/caller" --address 127.0.0.1:7070 --key wrong GET /permits/17 || true
echo "== what operators see"
"$bin/sapphirebank" status
"$bin/sapphirebank" backends
