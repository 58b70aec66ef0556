# Times of the stages of each change, from the logs of control hosts as printed
# by the bench: TIME HOST JSON. Arguments: log files. Prints each plan and zone
# change, and median, 99th percentile and maximum for plans and departures, in
# seconds: from the first call to the commit, from there to the release, and
# from the first call to the first answer.

# Returns the value of a member of the JSON object of the line.
function Member(name,    start, rest) {
  start = index($0, "\"" name "\":")
  if (start == 0) return ""
  rest = substr($0, start + length(name) + 3)
  if (substr(rest, 1, 1) == "\"") {
    rest = substr(rest, 2)
    return substr(rest, 1, index(rest, "\"") - 1)
  }
  match(rest, /^[^,}]*/)
  return substr(rest, 1, RLENGTH)
}

function Summarize(kind, what, values, count,    i, j, value) {
  if (count == 0) return
  for (i = 2; i <= count; ++i) {
    value = values[i]
    for (j = i - 1; j >= 1 && values[j] > value; --j) values[j + 1] = values[j]
    values[j + 1] = value
  }
  printf "%-10s %-22s %4d: p50 %.2f, p99 %.2f, maximum %.2f\n", kind, what,
    count, values[int((count + 1) / 2)], values[int(count * 0.99 + 0.999)],
    values[count]
}

$1 !~ /^-?[0-9.]+$/ || $3 !~ /^\{/ || !/"event":"change_/ { next }

{
  change = Member("change")
  event = Member("event")
  if (event == "change_received") ++calls[change]
  if (event == "change_released" && !((event, change) in at)) {
    waited_for[change] = Member("waited_for")
  }
  if (!((event, change) in at)) {
    at[event, change] = $1
    if (event == "change_received") order[++changes] = change
  }
}

END {
  for (i = 1; i <= changes; ++i) {
    change = order[i]
    first = at["change_received", change]
    split(change, words, " ")
    kind = words[1]
    line = sprintf("%9.3f %-28s %d calls", first, change, calls[change])
    if (("change_committed", change) in at) {
      committed = at["change_committed", change]
      to_commit[kind, ++commits[kind]] = committed - first
      line = line sprintf(", committed %.2f", committed - first)
      if (("change_released", change) in at) {
        held = at["change_released", change] - committed
        hold[kind, ++holds[kind]] = held
        line = line sprintf(", held %.2f for %s", held, waited_for[change])
      }
    }
    if (("change_acknowledged", change) in at) {
      answer = at["change_acknowledged", change] - first
      to_answer[kind, ++answers[kind]] = answer
      line = line sprintf(", answered %.2f", answer)
    } else {
      line = line ", not answered"
      ++unanswered[kind]
    }
    if (kind != "departure") print line
  }
  split("plan departure zone", kinds, " ")
  for (k = 1; k <= 3; ++k) {
    kind = kinds[k]
    split("", list)
    for (i = 1; i <= commits[kind]; ++i) list[i] = to_commit[kind, i]
    Summarize(kind, "call to commit", list, commits[kind] + 0)
    for (i = 1; i <= holds[kind]; ++i) list[i] = hold[kind, i]
    Summarize(kind, "commit to release", list, holds[kind] + 0)
    for (i = 1; i <= answers[kind]; ++i) list[i] = to_answer[kind, i]
    Summarize(kind, "call to answer", list, answers[kind] + 0)
    if (unanswered[kind]) print kind ": " unanswered[kind] " not answered"
  }
}
