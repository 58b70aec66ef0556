#include "sapphirebank/consensus/declaration_store.h"

#include <fmt/format.h>

#include <utility>

#include "sapphirebank/consensus/log_entry.h"
#include "sapphirebank/core/hash.h"

namespace sapphirebank {
namespace {

std::uint64_t ChangeDigest(const ApplyChange& change) {
  return StableHash(EncodeCbor(nlohmann::json::array(
      {change.base_revision, change.operator_id, change.patch})));
}

tl::unexpected<Error> RevisionConflict(Revision in_force) {
  return Fail(ErrorKind::kRevisionConflict,
              fmt::format("revision {} is in force", in_force));
}

}  // namespace

Result<ChangeResult> DeclarationStore::Apply(const ApplyChange& change) {
  const std::uint64_t digest = ChangeDigest(change);
  const auto found = result_numbers_.find(change.change_id);
  if (found != result_numbers_.end()) {
    const CachedResult& cached_result =
        cached_results_[found->second - first_result_number_];
    if (cached_result.digest == digest) return ToResult(cached_result);
    return Fail(ErrorKind::kIdempotencyKeyReused,
                fmt::format("change id \"{}\" was used for another change",
                            change.change_id));
  }
  auto document = Preview(change);
  if (!document) {
    const bool is_conflict =
        document.error().kind == ErrorKind::kRevisionConflict;
    if (is_conflict) AddResult({change.change_id, digest, false, revision_});
    return tl::unexpected(document.error());
  }
  document_ = std::make_shared<const nlohmann::json>(std::move(*document));
  ++revision_;
  AddPatch({revision_, EncodeCbor(change.patch)});
  AddResult({change.change_id, digest, true, revision_});
  return ChangeResult{revision_};
}

Result<ChangeResult> DeclarationStore::Apply(
    const RestoreDeclarations& restore) {
  const bool is_repeated =
      revision_ == restore.revision && *document_ == restore.document;
  if (is_repeated) return ChangeResult{revision_};
  if (revision_ != 0) return RevisionConflict(revision_);
  revision_ = restore.revision;
  document_ = std::make_shared<const nlohmann::json>(restore.document);
  return ChangeResult{revision_};
}

Result<nlohmann::json> DeclarationStore::Preview(
    const ApplyChange& change) const {
  if (change.base_revision != revision_) return RevisionConflict(revision_);
  try {
    return document_->patch(change.patch);
  } catch (const nlohmann::json::exception& e) {
    return Fail(ErrorKind::kInvalidDeclaration,
                fmt::format("the patch does not apply to revision {}: {}",
                            revision_, e.what()));
  }
}

bool DeclarationStore::HasResult(const std::string& change_id) const {
  return result_numbers_.contains(change_id);
}

Result<std::vector<DeclarationPatch>> DeclarationStore::PatchesSince(
    Revision revision) const {
  if (revision > revision_) {
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("revision {} is higher than the one in force", revision));
  }
  const std::size_t missing = revision_ - revision;
  if (missing > patches_.size()) {
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("the patches since revision {} are no longer stored",
                    revision));
  }
  return std::vector<DeclarationPatch>(
      patches_.end() - static_cast<std::ptrdiff_t>(missing), patches_.end());
}

Result<ChangeResult> DeclarationStore::ToResult(
    const CachedResult& cached_result) {
  if (!cached_result.accepted) return RevisionConflict(cached_result.revision);
  return ChangeResult{cached_result.revision};
}

void DeclarationStore::AddResult(CachedResult result) {
  result_numbers_[result.change_id] =
      first_result_number_ + cached_results_.size();
  cached_results_.push_back(std::move(result));
  if (cached_results_.size() <= kMaxResults) return;
  result_numbers_.erase(cached_results_.front().change_id);
  cached_results_.pop_front();
  ++first_result_number_;
}

void DeclarationStore::AddPatch(DeclarationPatch patch) {
  patch_bytes_ += patch.patch.size();
  patches_.push_back(std::move(patch));
  while (patches_.size() > kMaxPatches || patch_bytes_ > kMaxPatchBytes) {
    patch_bytes_ -= patches_.front().patch.size();
    patches_.pop_front();
  }
}

void DeclarationStore::AppendTo(std::string& out) const {
  auto patches = nlohmann::json::array();
  for (const DeclarationPatch& patch : patches_) {
    patches.push_back({patch.revision, BytesToJson(patch.patch)});
  }
  auto results = nlohmann::json::array();
  for (const CachedResult& result : cached_results_) {
    results.push_back(
        {result.change_id, result.digest, result.accepted, result.revision});
  }
  AppendCbor(out, {{"revision", revision_},
                   {"patches", std::move(patches)},
                   {"answers", std::move(results)}});
  AppendCbor(out, *document_);
}

DeclarationStore DeclarationStore::ReadFrom(CborReader& reader) {
  const auto header = reader.Next();
  DeclarationStore store;
  header.at("revision").get_to(store.revision_);
  for (const auto& item : header.at("patches")) {
    store.AddPatch({item.at(0).get<Revision>(), BytesFromJson(item.at(1))});
  }
  for (const auto& item : header.at("answers")) {
    store.AddResult({item.at(0).get<std::string>(),
                     item.at(1).get<std::uint64_t>(), item.at(2).get<bool>(),
                     item.at(3).get<Revision>()});
  }
  store.document_ = std::make_shared<const nlohmann::json>(reader.Next());
  return store;
}

}  // namespace sapphirebank
