#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sapphirebank/config/declarations.h"
#include "sapphirebank/core/error.h"

namespace sapphirebank {

// Declarations indexed for routing and authorization of requests. A RouteTable
// is immutable, so threads can share it; each revision gets a new table.
class RouteTable {
 public:
  // Result of authorization. The pointers are valid as long as the table;
  // `workspace` is null on an open route.
  struct Match {
    const RouteDeclaration* route = nullptr;
    const ServiceDeclaration* service = nullptr;
    const WorkspaceDeclaration* workspace = nullptr;
  };

  // Builds the table from validated `declarations`: every service and workspace
  // that they refer to must exist.
  static std::shared_ptr<const RouteTable> Create(Revision revision,
                                                  Declarations declarations);

  // Returns the route with the longest path prefix of `target` that allows
  // `method`. Fails with kNoRoute or kMethodNotAllowed.
  Result<const RouteDeclaration*> FindRoute(std::string_view method,
                                            std::string_view target) const;

  // Finds the route of a request and checks that the caller's `key` may use it.
  // Fails with kNoRoute, kMethodNotAllowed, kKeyMissing, kKeyUnknown or
  // kKeyNotAllowed. Open routes ignore the key.
  Result<Match> Authorize(std::string_view method, std::string_view target,
                          std::string_view key) const;

  // Returns the service with `id`, or null.
  const ServiceDeclaration* FindService(std::string_view id) const;

  // Returns the workspace with `id`, or null.
  const WorkspaceDeclaration* FindWorkspace(std::string_view id) const;

  // Returns whether `secret` is the announcement secret of the service. Always
  // true for a service without one. Takes constant time for a given length.
  static bool AnnouncementAllowed(const ServiceDeclaration& service,
                                  std::string_view secret);

  // Returns the configuration revision of the table.
  Revision revision() const { return revision_; }

  const Declarations& declarations() const { return declarations_; }

 private:
  RouteTable(Revision revision, Declarations declarations);

  Revision revision_;
  Declarations declarations_;
  // Routes by path prefix. A prefix may have routes for different methods.
  std::unordered_map<std::string_view, std::vector<const RouteDeclaration*>>
      routes_;
  std::unordered_map<std::string_view, const ServiceDeclaration*> services_;
  std::unordered_map<std::string_view, const WorkspaceDeclaration*> workspaces_;
  // Workspaces by the SHA-256 of their keys, in hexadecimal.
  std::unordered_map<std::string_view, const WorkspaceDeclaration*> keys_;
};

// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

}  // namespace sapphirebank
