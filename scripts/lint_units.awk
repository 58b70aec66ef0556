# Sorts source files into translation units that share their headers, since most
# of the lint's time goes into those. Files of one tree come together unless both
# define the same name in an unnamed namespace. Prints one unit a line.
function tree(path) { sub(/\/.*/, "", path); return path }

FNR == 1 {
  files[++count] = FILENAME
  is_local = 0
}
/^namespace \{/ { is_local = 1; next }
/^\}  \/\/ namespace$/ { is_local = 0; next }
is_local && /^[A-Za-z]/ && !/^(using|namespace|template|static_assert|TEST_CASE)/ {
  line = $0
  gsub(/::/, "_", line)
  sub(/[ ]*[({=;\[].*/, "", line)
  sub(/[ ]*:.*/, "", line)
  sub(/.*[ &*]/, "", line)
  names[FILENAME] = names[FILENAME] " " line
}
END {
  for (i = 1; i <= count; ++i) {
    file = files[i]
    size = split(names[file], own, " ")
    for (unit = 1; unit <= units; ++unit) {
      if (place[unit] != tree(file) || members[unit] >= most) continue
      clash = 0
      for (j = 1; j <= size; ++j) if ((unit, own[j]) in taken) clash = 1
      if (!clash) break
    }
    if (unit > units) {
      units = unit
      place[unit] = tree(file)
    }
    list[unit] = list[unit] " " file
    ++members[unit]
    for (j = 1; j <= size; ++j) taken[unit, own[j]] = 1
  }
  for (unit = 1; unit <= units; ++unit) print substr(list[unit], 2)
}
