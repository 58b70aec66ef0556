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
  const auto cached = answer_numbers_.find(change.change_id);
  if (cached != answer_numbers_.end()) {
    const CachedAnswer& first = answers_[cached->second - first_answer_number_];
    if (first.digest == digest) return ToResult(first);
    return Fail(ErrorKind::kIdempotencyKeyReused,
                fmt::format("change id \"{}\" was used for another change",
                            change.change_id));
  }
  auto document = Preview(change);
  if (!document) {
    const bool is_conflict =
        document.error().kind == ErrorKind::kRevisionConflict;
    if (is_conflict) AddAnswer({change.change_id, digest, false, revision_});
    return tl::unexpected(document.error());
  }
  document_ = std::make_shared<const nlohmann::json>(std::move(*document));
  ++revision_;
  AddPatch({revision_, EncodeCbor(change.patch)});
  AddAnswer({change.change_id, digest, true, revision_});
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
                fmt::format("the patch does not fit revision {}: {}", revision_,
                            e.what()));
  }
}

bool DeclarationStore::HasAnswer(const std::string& change_id) const {
  return answer_numbers_.contains(change_id);
}

Result<std::vector<DeclarationPatch>> DeclarationStore::PatchesSince(
    Revision revision) const {
  if (revision > revision_) {
    return Fail(ErrorKind::kNotFound,
                fmt::format("revision {} is not known here", revision));
  }
  const std::size_t missing = revision_ - revision;
  if (missing > patches_.size()) {
    return Fail(
        ErrorKind::kNotFound,
        fmt::format("the changes since revision {} are not kept", revision));
  }
  return std::vector<DeclarationPatch>(
      patches_.end() - static_cast<std::ptrdiff_t>(missing), patches_.end());
}

Result<ChangeResult> DeclarationStore::ToResult(const CachedAnswer& first) {
  if (!first.accepted) return RevisionConflict(first.revision);
  return ChangeResult{first.revision};
}

void DeclarationStore::AddAnswer(CachedAnswer answer) {
  answer_numbers_[answer.change_id] = first_answer_number_ + answers_.size();
  answers_.push_back(std::move(answer));
  if (answers_.size() <= kMaxAnswers) return;
  answer_numbers_.erase(answers_.front().change_id);
  answers_.pop_front();
  ++first_answer_number_;
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
  auto answers = nlohmann::json::array();
  for (const CachedAnswer& answer : answers_) {
    answers.push_back(
        {answer.change_id, answer.digest, answer.accepted, answer.revision});
  }
  AppendCbor(out, {{"revision", revision_},
                   {"patches", std::move(patches)},
                   {"answers", std::move(answers)}});
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
    store.AddAnswer({item.at(0).get<std::string>(),
                     item.at(1).get<std::uint64_t>(), item.at(2).get<bool>(),
                     item.at(3).get<Revision>()});
  }
  store.document_ = std::make_shared<const nlohmann::json>(reader.Next());
  return store;
}

}  // namespace sapphirebank
