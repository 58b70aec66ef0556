# Lists the changes of the replicated record in the logs of a fleet: when each
# was committed and acknowledged, and how many entry hosts did not apply it 0,
# 0.5, 1, 2 and 2.5 s after the acknowledgement, with the last one and its hub.
#
#   awk -v least=1 -f scripts/summarize_changes.awk LOG...
#
# Leaves out changes that fewer than `least` hosts lacked at the
# acknowledgement. Reads JSON lines, each behind "SECONDS HOST " as the
# platform's bench prints them. Hosts that end or lose power go on counting, so
# compare with the lines of hosts that started since.

function Member(name,    text) {
  if (!match($0, "\"" name "\":(\"[^\"]*\"|[0-9.]+)")) return ""
  text = substr($0, RSTART, RLENGTH)
  sub("^\"" name "\":\"?", "", text)
  sub("\"$", "", text)
  return text
}

BEGIN { split("0 0.5 1 2 2.5", ages, " ") }

$1 !~ /^-?[0-9.]+$/ || $3 !~ /^\{/ { next }

/"event":"change_committed"/ {
  name = Member("change")
  if (name in number) next
  number[name] = Member("changes") + 0
  committed[name] = $1
  order[++count] = name
}

/"event":"change_acknowledged"/ {
  name = Member("change")
  if (!(name in acknowledged)) {
    acknowledged[name] = $1
    answered_by[name] = $2
  }
}

/"event":"record_applied"/ && /"hub"/ {
  ++lines[$2]
  at[$2, lines[$2]] = $1
  applied[$2, lines[$2]] = Member("changes") + 0
  hub[$2, lines[$2]] = Member("hub")
}

END {
  printf "%9s %9s %-32s %-22s  not applied after 0/0.5/1/2/2.5 s; last\n",
    "commit", "ack", "change", "by"
  for (i = 1; i <= count; ++i) {
    name = order[i]
    if (!(name in acknowledged)) continue
    split("", behind)
    last = -1e9
    last_host = "-"
    for (host in lines) {
      line = 1
      while (line <= lines[host] && applied[host, line] < number[name]) ++line
      if (line > lines[host]) {
        time = 1e9
      } else {
        time = at[host, line]
        if (time > last) {
          last = time
          last_host = host " " hub[host, line]
        }
      }
      for (a = 1; a <= 5; ++a) {
        if (time > acknowledged[name] + ages[a]) ++behind[a]
      }
    }
    if (behind[1] + 0 < least + 0) continue
    printf "%9.3f %9.3f %-32s %-22s  %d/%d/%d/%d/%d; %.3f %s\n",
      committed[name], acknowledged[name], name, answered_by[name], behind[1],
      behind[2], behind[3], behind[4], behind[5], last - acknowledged[name],
      last_host
  }
}
