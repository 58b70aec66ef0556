#include "sapphirebank/core/cbor.h"

#include <optional>
#include <vector>

namespace sapphirebank {
namespace {

// Major types and additional information of an initial byte (RFC 8949,
// section 3).
constexpr unsigned kMajorShift = 5;
constexpr unsigned kInfoMask = 0x1f;
constexpr unsigned kIndefinite = 31;
constexpr unsigned kFirstSizedInfo = 24;
constexpr unsigned kBytes = 2;
constexpr unsigned kText = 3;
constexpr unsigned kArray = 4;
constexpr unsigned kMap = 5;
constexpr unsigned kTag = 6;
constexpr unsigned char kBreak = 0xff;

// Reads the initial bytes of data items.
class Scanner {
 public:
  explicit Scanner(std::string_view bytes) : bytes_(bytes) {}

  struct Item {
    unsigned major = 0;
    bool is_indefinite = false;
    bool is_break = false;
    std::uint64_t argument = 0;
  };

  // Returns the next item, without the content of strings, or nothing at the
  // end.
  std::optional<Item> Next() {
    if (place_ >= bytes_.size()) return std::nullopt;
    const auto initial = static_cast<unsigned char>(bytes_[place_++]);
    Item item;
    item.major = initial >> kMajorShift;
    item.is_break = initial == kBreak;
    const unsigned info = initial & kInfoMask;
    item.is_indefinite = info == kIndefinite;
    if (info < kFirstSizedInfo) {
      item.argument = info;
    } else if (!item.is_indefinite) {
      const std::size_t size = std::size_t{1} << (info - kFirstSizedInfo);
      for (std::size_t i = 0; i < size && place_ < bytes_.size(); ++i) {
        item.argument =
            item.argument << 8U | static_cast<unsigned char>(bytes_[place_++]);
      }
    }
    const bool is_string = item.major == kBytes || item.major == kText;
    if (is_string && !item.is_indefinite) {
      if (item.argument > bytes_.size() - place_) return std::nullopt;
      place_ += item.argument;
    }
    return item;
  }

 private:
  std::string_view bytes_;
  std::size_t place_ = 0;
};

// Returns whether `item` is followed by items that it contains.
bool IsContainer(const Scanner::Item& item) {
  const bool counts = item.major == kArray || item.major == kMap;
  return item.is_indefinite || item.major == kTag ||
         (counts && item.argument > 0);
}

// Returns the number of items in a container; nothing if it ends with a break.
std::optional<std::uint64_t> ContainedItems(const Scanner::Item& item) {
  if (item.is_indefinite) return std::nullopt;
  if (item.major == kTag) return 1;
  return item.major == kMap ? 2 * item.argument : item.argument;
}

}  // namespace

bool IsCborWithinDepth(std::string_view bytes, std::size_t max_depth) {
  Scanner scanner(bytes);
  // Items that each open container still expects.
  std::vector<std::optional<std::uint64_t>> open;
  while (const auto item = scanner.Next()) {
    if (item->is_break) {
      if (open.empty()) return true;
      open.pop_back();
    } else if (IsContainer(*item)) {
      open.push_back(ContainedItems(*item));
      if (open.size() > max_depth) return false;
      continue;
    }
    // The item is complete, and so may be the containers that it is the last
    // of.
    while (!open.empty() && open.back() && --*open.back() == 0) open.pop_back();
  }
  return true;
}

}  // namespace sapphirebank
