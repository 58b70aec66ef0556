#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "sapphirebank/consensus/cbor_sequence.h"
#include "sapphirebank/consensus/control_command.h"
#include "sapphirebank/core/error.h"
#include "sapphirebank/core/ids.h"

namespace sapphirebank {

// One accepted change: applied to the document of the revision before, `patch`
// (RFC 6902 as CBOR) gives the document of `revision`.
struct DeclarationPatch {
  Revision revision = 0;
  std::string patch;

  friend bool operator==(const DeclarationPatch&,
                         const DeclarationPatch&) = default;
};

// The declarations document with its revision, its last patches, and the first
// answers to the last changes.
class DeclarationStore {
 public:
  // Changes whose first answer is given again to a resend.
  static constexpr std::size_t kMaxResults = 4096;
  // Patches from which a host that lags can be brought up to date.
  static constexpr std::size_t kMaxPatches = 256;
  static constexpr std::size_t kMaxPatchBytes = 4UL << 20;

  // Applies a change. Fails with kRevisionConflict, naming the revision in
  // force, when the base is another one; with kIdempotencyKeyReused when the
  // change id was used for other content; with kInvalidDeclaration when the
  // patch does not fit the document.
  Result<ChangeResult> Apply(const ApplyChange& change);

  // Takes over the declarations of a lost group. Fails with kRevisionConflict
  // when this one has a revision already. The same restore may come again.
  Result<ChangeResult> Apply(const RestoreDeclarations& restore);

  // Returns the document that `change` would lead to. Fails as Apply does, but
  // does not look at change ids.
  Result<nlohmann::json> Preview(const ApplyChange& change) const;

  // Returns whether `change_id` has an answer already.
  bool HasResult(const std::string& change_id) const;

  // Returns the patches that lead from `revision` to the one in force. Fails
  // with kNotFound when they are not kept, or `revision` is a later one.
  Result<std::vector<DeclarationPatch>> PatchesSince(Revision revision) const;

  Revision revision() const { return revision_; }

  // Returns the document in force, an empty object at revision 0. It is never
  // changed, so other threads may read it.
  const std::shared_ptr<const nlohmann::json>& document() const {
    return document_;
  }

  // Adds the store to `out` as CBOR items.
  void AppendTo(std::string& out) const;

  // Reads what AppendTo wrote. Throws nlohmann::json::exception when it is
  // something else.
  static DeclarationStore ReadFrom(CborReader& reader);

 private:
  struct CachedResult {
    std::string change_id;
    std::uint64_t digest = 0;
    bool accepted = false;
    Revision revision = 0;  // The new one, or the one that was in force.
  };

  static Result<ChangeResult> ToResult(const CachedResult& cached_result);
  void AddResult(CachedResult result);
  void AddPatch(DeclarationPatch patch);

  Revision revision_ = 0;
  std::shared_ptr<const nlohmann::json> document_ =
      std::make_shared<const nlohmann::json>(nlohmann::json::object());
  std::deque<DeclarationPatch> patches_;
  std::size_t patch_bytes_ = 0;
  std::deque<CachedResult> cached_results_;  // Oldest first.
  // Position in the sequence of all answers ever remembered.
  std::unordered_map<std::string, std::uint64_t> result_numbers_;
  std::uint64_t first_result_number_ = 0;
};

}  // namespace sapphirebank
