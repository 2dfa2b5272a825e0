# Shared by the cases: starts a small fleet with short leases, and audits it.
# What a case prints on standard output is compared with its reference, so only
# what must be the same in every run goes there; the rest goes to the errors.
set -euo pipefail
FLEET_AGENTS=${FLEET_AGENTS:-5}
FLEET_ENTRIES=${FLEET_ENTRIES:-2}
FLEET_STRAGGLERS=0
FLEET_EXTRA_POLICY=${FLEET_EXTRA_POLICY:-"tenure_ms = 3000
hold_ms = 40000
owner_lease_ms = 2000"}
# shellcheck source=scripts/fleet.sh
. "$SCRIPTS/fleet.sh"
trap fleet_stop_all EXIT

say() { echo "$*"; }

# Writes a manifest with one batch job: NAME TASKS RUN_MS [extra jobs].
case_manifest() {
  cat >"$FLEET_DIR/manifest.json" <<EOF
{"house": "tesfaye", "cells": ["addis"],
 "teams": [{"name": "t", "processors": 1000, "memory_mb": 1000000}],
 "services": [
  {"name": "preview", "team": "t", "class": "short", "deadline_ms": 4000, "expected_ms": 25},
  {"name": "plotter", "team": "t", "class": "long", "deadline_ms": 8000, "expected_ms": 300},
  {"name": "invoice", "team": "t", "class": "short", "idempotent": false, "deadline_ms": 8000, "expected_ms": 70}],
 "jobs": [{"name": "$1", "team": "t", "kind": "batch", "tasks": $2, "processors": 2,
  "memory_mb": 1000, "run_ms": $3}${4:+, $4}]}
EOF
}

case_start() {
  fleet_house tesfaye
  fleet_start_all
  fleet_await "upstreams" fleet_has_usable "$FLEET_AGENTS"
}

case_commit() { fleet_cli manifest commit "$FLEET_DIR/manifest.json" --author case --note "$1" >&2; }

# Starts clients in the background: SECONDS; case_clients_wait ends with them.
case_clients() {
  "$FLEET_BIN/src/standins/client_load" --entry "$(fleet_entry_client 0)" \
    --entry "$(fleet_entry_client 1)" --load preview:${CASE_PREVIEWS:-40} --load plotter:3 \
    --load invoice:8:keyed --seconds "$1" --ledger "$FLEET_DIR/clients.json" >&2 &
  CLIENTS=$!
}
case_clients_wait() { wait "$CLIENTS"; }

case_finished() { # JOB COUNT: at least COUNT tasks have finished
  local count
  count=$(fleet_cli jobs | sed -n "s/^$1 *[a-z ]* \([0-9]*\)\/.*/\1/p")
  [ "${count:-0}" -ge "$2" ]
}
case_owner() { fleet_cli status | sed -n 's/^Cell .* owned by \([^ ]*\) .*/\1/p'; }
case_owned_not_by() {
  local owner
  owner=$(case_owner) && [ -n "$owner" ] && [ "$owner" != "$1" ]
}
case_fault() { fleet_http POST "$(fleet_store)" /control/fault "$1" >/dev/null; }

# Audits the ledgers; arguments are JOB:TASKS that must have finished.
case_audit() {
  local clients=()
  fleet_http GET "$(fleet_workers_control)" /ledger >"$FLEET_DIR/ledger.json"
  [ -f "$FLEET_DIR/clients.json" ] && clients=(--clients "$FLEET_DIR/clients.json")
  "$FLEET_BIN/src/standins/audit" --ledger "$FLEET_DIR/ledger.json" "${clients[@]}" \
    $(printf -- '--finished %s ' "$@") | sed 's/ ([0-9]* [a-z]*)$//'
}
