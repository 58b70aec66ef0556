#include "sapphirebank/request/route_table.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirebank {
namespace {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// Returns `path` without its last segment:
// "/a/b" -> "/a" -> "/" -> "".
std::string_view ParentPath(std::string_view path) {
  if (path.size() <= 1) return {};
  const auto slash = path.rfind('/');
  return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

bool Allows(const RouteDeclaration& route, std::string_view method) {
  return route.methods.empty() ||
         std::find(route.methods.begin(), route.methods.end(), method) !=
             route.methods.end();
}

std::string_view WithoutTrailingSlash(std::string_view prefix) {
  if (prefix.size() > 1 && prefix.back() == '/') prefix.remove_suffix(1);
  return prefix;
}

template <typename T>
const T* FindIn(const std::unordered_map<std::string_view, const T*>& map,
                std::string_view id) {
  const auto found = map.find(id);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

std::shared_ptr<const RouteTable> RouteTable::Create(
    Revision revision, Declarations declarations) {
  return std::shared_ptr<const RouteTable>(
      new RouteTable(revision, std::move(declarations)));
}

RouteTable::RouteTable(Revision revision, Declarations declarations)
    : revision_(revision), declarations_(std::move(declarations)) {
  for (const auto& route : declarations_.routes) {
    routes_[WithoutTrailingSlash(route.path_prefix)].push_back(&route);
  }
  for (const auto& service : declarations_.services) {
    services_.emplace(service.id.value(), &service);
  }
  for (const auto& workspace : declarations_.workspaces) {
    workspaces_.emplace(workspace.id.value(), &workspace);
  }
  for (const auto& key : declarations_.keys) {
    keys_.emplace(key.sha256, FindWorkspace(key.workspace.value()));
  }
}

Result<const RouteDeclaration*> RouteTable::FindRoute(
    std::string_view method, std::string_view target) const {
  bool path_known = false;
  for (std::string_view path = WithoutTrailingSlash(PathOf(target));
       !path.empty(); path = ParentPath(path)) {
    const auto found = routes_.find(path);
    if (found == routes_.end()) continue;
    path_known = true;
    for (const RouteDeclaration* route : found->second) {
      if (Allows(*route, method)) return route;
    }
  }
  if (path_known) {
    return Fail(ErrorKind::kMethodNotAllowed,
                fmt::format("no route for this path allows {}", method));
  }
  return Fail(ErrorKind::kNoRoute, "no route matches the path");
}

Result<RouteTable::Match> RouteTable::Authorize(std::string_view method,
                                                std::string_view target,
                                                std::string_view key) const {
  const auto route = FindRoute(method, target);
  if (!route) return tl::unexpected(route.error());
  Match match;
  match.route = *route;
  match.service = FindService(match.route->service.value());
  if (match.route->access == RouteAccess::kOpen) return match;
  if (key.empty()) {
    return Fail(ErrorKind::kKeyMissing,
                fmt::format("route \"{}\" requires a key", match.route->id));
  }
  match.workspace = FindIn(keys_, Sha256Hex(key));
  if (match.workspace == nullptr) {
    return Fail(ErrorKind::kKeyUnknown,
                "the key does not belong to a workspace");
  }
  const auto& allowed = match.workspace->services;
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(),
                                    match.route->service) == allowed.end()) {
    return Fail(
        ErrorKind::kKeyNotAllowed,
        fmt::format("workspace \"{}\" may not use service \"{}\"",
                    match.workspace->id.value(), match.route->service.value()));
  }
  return match;
}

const ServiceDeclaration* RouteTable::FindService(std::string_view id) const {
  return FindIn(services_, id);
}

const WorkspaceDeclaration* RouteTable::FindWorkspace(
    std::string_view id) const {
  return FindIn(workspaces_, id);
}

bool RouteTable::AnnouncementAllowed(const ServiceDeclaration& service,
                                     std::string_view secret) {
  if (service.announcement_sha256.empty()) return true;
  const std::string digest = Sha256Hex(secret);
  return digest.size() == service.announcement_sha256.size() &&
         CRYPTO_memcmp(digest.data(), service.announcement_sha256.data(),
                       digest.size()) == 0;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const unsigned char byte : digest) {
    fmt::format_to(std::back_inserter(hex), "{:02x}", byte);
  }
  return hex;
}

}  // namespace sapphirebank
