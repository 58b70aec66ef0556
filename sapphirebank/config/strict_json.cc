#include "sapphirebank/config/strict_json.h"

#include <fmt/format.h>

#include <cstddef>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphirebank {
namespace {

using Json = nlohmann::json;

// Walks over a text and tells how far the reader has come.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* place, const char** furthest)
      : place_(place), furthest_(furthest) {}

  reference operator*() const { return *place_; }

  CountingIterator& operator++() {
    ++place_;
    *furthest_ = place_;
    return *this;
  }

  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }

  friend bool operator==(const CountingIterator& a, const CountingIterator& b) {
    return a.place_ == b.place_;
  }

 private:
  const char* place_;
  const char** furthest_;
};

constexpr std::string_view kColumn = "column ";

struct Fault {
  std::size_t offset = 0;  // Bytes before the place.
  std::string cause;
};

// Returns the library's message without its own name of the fault and its own
// account of the place.
std::string CauseOf(std::string_view message) {
  const std::size_t bracket = message.find("] ");
  if (bracket != std::string_view::npos) message.remove_prefix(bracket + 2);
  const std::size_t column = message.find(kColumn);
  if (column == std::string_view::npos) return std::string(message);
  const std::size_t colon = message.find(": ", column);
  if (colon == std::string_view::npos) return std::string(message);
  return std::string(message.substr(colon + 2));
}

// Builds the value from the parser's events and stops at the first fault.
class Builder : public nlohmann::json_sax<Json> {
 public:
  explicit Builder(std::string_view text)
      : begin_(text.data()), place_(text.data()) {}

  const char** place() { return &place_; }
  std::optional<Fault>& fault() { return fault_; }
  Json& root() { return root_; }

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return Add(value);
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& /*value*/) override { return Stop("binary data"); }

  bool start_object(std::size_t /*size*/) override {
    return Open(Json::object());
  }
  bool start_array(std::size_t /*size*/) override {
    return Open(Json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    if (open_.back()->contains(name)) {
      return Stop(
          fmt::format("the name \"{}\" stands twice in one object", name));
    }
    name_ = std::move(name);
    return true;
  }

  bool parse_error(std::size_t position, const std::string& /*last_token*/,
                   const nlohmann::detail::exception& error) override {
    fault_ = Fault{position > 0 ? position - 1 : 0, CauseOf(error.what())};
    return false;
  }

 private:
  // Puts `value` at the current place and returns where it went.
  Json* Put(Json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    if (open_.back()->is_array()) {
      open_.back()->push_back(std::move(value));
      return &open_.back()->back();
    }
    Json& member = (*open_.back())[name_];
    member = std::move(value);
    return &member;
  }

  bool Add(Json value) {
    Put(std::move(value));
    return true;
  }

  bool Open(Json value) {
    if (open_.size() >= kMaxJsonDepth) {
      return Stop(fmt::format("nested more than {} deep", kMaxJsonDepth));
    }
    open_.push_back(Put(std::move(value)));
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  bool Stop(std::string cause) {
    const auto read = static_cast<std::size_t>(place_ - begin_);
    fault_ = Fault{read > 0 ? read - 1 : 0, std::move(cause)};
    return false;
  }

  const char* begin_;
  const char* place_;  // Behind the last byte read.
  Json root_;
  std::vector<Json*> open_;
  std::string name_;
  std::optional<Fault> fault_;
};

std::string PlaceOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  std::size_t line = 1;
  std::size_t line_start = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != '\n') continue;
    ++line;
    line_start = i + 1;
  }
  return fmt::format("{}:{}", line, before.size() - line_start + 1);
}

}  // namespace

Result<Json> ParseStrictJson(std::string_view text, std::string_view file_name,
                             ErrorKind kind) {
  Builder builder(text);
  const char* end = text.data() + text.size();
  const bool whole =
      Json::sax_parse(CountingIterator(text.data(), builder.place()),
                      CountingIterator(end, builder.place()), &builder,
                      Json::input_format_t::json,
                      /*strict=*/true, /*ignore_comments=*/true);
  if (whole && !builder.fault()) return std::move(builder.root());
  const Fault fault = builder.fault().value_or(Fault{0, "not valid JSON"});
  return Fail(kind, fmt::format("{}:{}: {}", file_name,
                                PlaceOf(text, fault.offset), fault.cause));
}

}  // namespace sapphirebank
