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

// One accepted change. Applying `patch` (RFC 6902 as CBOR) to the document of
// the previous revision gives the document of `revision`.
struct DeclarationPatch {
  Revision revision = 0;
  std::string patch;

  friend bool operator==(const DeclarationPatch&,
                         const DeclarationPatch&) = default;
};

// The declarations document with its revision, its most recent patches, and the
// results of the most recent changes.
class DeclarationStore {
 public:
  // Number of changes whose result is stored and returned again to a resend.
  static constexpr std::size_t kMaxResults = 4096;
  // Limits on the stored patches, from which a host that lags is updated.
  static constexpr std::size_t kMaxPatches = 256;
  static constexpr std::size_t kMaxPatchBytes = 4UL << 20;

  // Applies a change. Fails with kRevisionConflict, naming the revision in
  // force, when the base revision is not that one; with kIdempotencyKeyReused
  // when the change id was used for other content; with kInvalidDeclaration
  // when the patch does not apply to the document.
  Result<ChangeResult> Apply(const ApplyChange& change);

  // Restores the declarations of a lost group. Repeating the same restore has
  // no effect. Fails with kRevisionConflict when this store already has a
  // revision.
  Result<ChangeResult> Apply(const RestoreDeclarations& restore);

  // Returns the document that would result from `change`. Fails as Apply does,
  // except that change ids are not checked.
  Result<nlohmann::json> Preview(const ApplyChange& change) const;

  // Returns whether a result is stored for `change_id`.
  bool HasResult(const std::string& change_id) const;

  // Returns the patches that lead from `revision` to the revision in force.
  // Fails with kNotFound when they are no longer stored, or when `revision` is
  // higher than the one in force.
  Result<std::vector<DeclarationPatch>> PatchesSince(Revision revision) const;

  Revision revision() const { return revision_; }

  // Returns the document in force, an empty object at revision 0. The object is
  // immutable, so other threads may read it.
  const std::shared_ptr<const nlohmann::json>& document() const {
    return document_;
  }

  // Appends the store to `out` as CBOR items.
  void AppendTo(std::string& out) const;

  // Reads what AppendTo wrote. Throws nlohmann::json::exception when the input
  // is malformed.
  static DeclarationStore ReadFrom(CborReader& reader);

 private:
  struct CachedResult {
    std::string change_id;
    std::uint64_t digest = 0;
    bool accepted = false;
    // The new revision, or the one in force at a conflict.
    Revision revision = 0;
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
  // Maps a change id to its number in the sequence of all results ever stored.
  std::unordered_map<std::string, std::uint64_t> result_numbers_;
  std::uint64_t first_result_number_ = 0;
};

}  // namespace sapphirebank
