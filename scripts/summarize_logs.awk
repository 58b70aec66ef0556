# Summarizes the logs of a fleet: for each period and availability zone, the
# refused and failed requests by kind, and the entry hosts that lost their hub
# or their path to the backend servers.
#
#   awk -v period=2 -f scripts/summarize_logs.awk LOG...
#
# Reads JSON lines, each behind "SECONDS HOST " as the platform's bench prints
# them. The zone is the middle part of a host's name, as in front-kochi-1.

function Member(name,    text) {
  if (!match($0, "\"" name "\":\"[^\"]*\"")) return ""
  text = substr($0, RSTART, RLENGTH)
  sub("^\"" name "\":\"", "", text)
  sub("\"$", "", text)
  return text
}

function Count(what) {
  counts[slot, zone, what]++
  kinds[what] = 1
  zones[zone] = 1
}

BEGIN {
  if (period == 0) period = 2
  first = ""
}

$1 ~ /^-?[0-9.]+$/ && $3 ~ /^\{/ {
  if ($1 < 0) next
  slot = int($1 / period)
  if (first == "" || slot < first) first = slot
  if (slot > last) last = slot
  split($2, parts, "-")
  zone = parts[2]
  event = Member("event")
  if (event == "request") {
    refusal = Member("refusal")
    Count(refusal == "" ? "server_error" : refusal)
  } else if (event ~ /^(hub_lost|hub_search|server_path_lost|server_path_found|detour_failed|attempt_failed|data_folder_failed|leader_known|log_lines_dropped|message_refused|update_not_taken)$/) {
    Count(event)
  }
}

END {
  for (slot = first; slot <= last; ++slot) {
    for (zone in zones) {
      line = ""
      for (kind in kinds) {
        if ((slot, zone, kind) in counts) {
          line = line " " kind "=" counts[slot, zone, kind]
        }
      }
      if (line != "") printf "%6.1f %-12s%s\n", slot * period, zone, line
    }
  }
}
