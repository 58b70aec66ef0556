#include "sapphirebank/core/json_read.h"

#include <set>
#include <string>
#include <vector>

namespace sapphirebank {
namespace {

using nlohmann::json;

// Checks a document without building it. The library's own filter, a callback
// of its parser, searches the whole enclosing table or list at the end of each
// one inside it, so that its time grows with the square of their number.
class DocumentChecker : public json::json_sax_t {
 public:
  explicit DocumentChecker(bool needs_unique_names)
      : needs_unique_names_(needs_unique_names) {}

  bool null() override { return CheckValue(); }
  bool boolean(bool /*value*/) override { return CheckValue(); }
  bool number_integer(number_integer_t /*value*/) override {
    return CheckValue();
  }
  bool number_unsigned(number_unsigned_t /*value*/) override {
    return CheckValue();
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return CheckValue();
  }
  bool string(string_t& /*value*/) override { return CheckValue(); }
  bool binary(binary_t& /*value*/) override { return CheckValue(); }

  bool start_object(std::size_t /*size*/) override {
    CheckValue();
    ++depth_;
    if (needs_unique_names_) names_.emplace_back();
    return true;
  }
  bool key(string_t& name) override {
    CheckValue();
    if (needs_unique_names_ && !names_.back().insert(name).second) {
      throw std::out_of_range(
          fmt::format("two entries are called {}", json(name).dump()));
    }
    return true;
  }
  bool end_object() override {
    if (needs_unique_names_) names_.pop_back();
    --depth_;
    return true;
  }
  bool start_array(std::size_t /*size*/) override {
    CheckValue();
    ++depth_;
    return true;
  }
  bool end_array() override {
    --depth_;
    return true;
  }

  // The parse that follows reports it.
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

 private:
  // Checks the depth of a value, a name, or the beginning of a container.
  bool CheckValue() const {
    if (depth_ > kMaxDocumentDepth) {
      throw std::out_of_range(
          fmt::format("nested more than {} deep", kMaxDocumentDepth));
    }
    return true;
  }

  bool needs_unique_names_;
  int depth_ = 0;
  // Of each open table.
  std::vector<std::set<std::string>> names_;
};

json ParseChecked(std::string_view text, bool needs_unique_names) {
  DocumentChecker checker(needs_unique_names);
  static_cast<void>(json::sax_parse(text, &checker));
  return json::parse(text);
}

}  // namespace

json ParseDocument(std::string_view text) { return ParseChecked(text, false); }

json ParseDocumentWithUniqueNames(std::string_view text) {
  return ParseChecked(text, true);
}

}  // namespace sapphirebank
