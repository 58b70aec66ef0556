#pragma once

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <cstddef>
#include <iostream>
#include <vector>

namespace sapphirebank {

// Returns the quantile of `values` at `fraction` (0 to 1, nearest rank), or 0
// if there are no values.
inline double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last_index = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(fraction * last_index))];
}

// Parses the command line into the variables that `description` names, and adds
// the option --help. Returns false if the program should exit because --help
// printed the options. Throws boost::program_options::error for bad options.
inline bool ParseOptions(
    int argc, char** argv,
    boost::program_options::options_description& description) {
  namespace options = boost::program_options;
  description.add_options()("help", "print this text");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.count("help") == 0) return true;
  std::cout << description;
  return false;
}

}  // namespace sapphirebank
