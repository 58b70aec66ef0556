#include "sapphirebank/config/declarations_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirebank/config/calendar_time.h"

namespace sapphirebank {
namespace {

constexpr std::size_t kMaxPathLength = 1024;

std::string PathOf(std::string_view section, std::string_view id,
                   std::string_view member) {
  return JoinPath(JoinPath(JoinPath("", section), id), member);
}

bool IsMethod(std::string_view method) {
  return !method.empty() &&
         std::all_of(method.begin(), method.end(),
                     [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsPathByte(char c) {
  return c > ' ' && c < '\x7f' && c != '?' && c != '#' && c != '%' && c != '\\';
}

// Returns whether a path segment is one that clients resolve by themselves or
// that stands for nothing.
bool IsBadSegment(std::string_view segment) {
  return segment.empty() || segment == "." || segment == "..";
}

bool IsPathPrefix(std::string_view path) {
  if (path == "/") return true;
  if (path.empty() || path.front() != '/' || path.size() > kMaxPathLength) {
    return false;
  }
  if (!std::all_of(path.begin(), path.end(), IsPathByte)) return false;
  std::size_t start = 1;
  while (true) {
    const std::size_t slash = path.find('/', start);
    if (IsBadSegment(path.substr(start, slash - start))) return false;
    if (slash == std::string_view::npos) return true;
    start = slash + 1;
  }
}

bool ShareMethod(const RouteDeclaration& a, const RouteDeclaration& b) {
  if (a.methods.empty() || b.methods.empty()) return true;
  return std::any_of(
      a.methods.begin(), a.methods.end(), [&](const std::string& method) {
        return std::find(b.methods.begin(), b.methods.end(), method) !=
               b.methods.end();
      });
}

class Checker {
 public:
  Checker(const Declarations& declarations, Problems& problems)
      : declarations_(declarations), problems_(problems) {
    for (const auto& service : declarations.services) {
      services_.insert(service.id);
    }
    for (const auto& workspace : declarations.workspaces) {
      workspaces_.insert(workspace.id);
    }
  }

  void Check() {
    for (const auto& zone : declarations_.zones) CheckPlans(zone);
    for (const auto& route : declarations_.routes) CheckRoute(route);
    CheckEqualRoutes();
    for (const auto& workspace : declarations_.workspaces) {
      for (const ServiceId& service : workspace.services) {
        CheckService(PathOf("workspaces", workspace.id.value(), "services"),
                     service);
      }
    }
    for (const auto& key : declarations_.keys) CheckKey(key);
    for (const auto& entry : declarations_.operators) {
      CheckDigest(PathOf("operators", entry.id, "sha256"), entry.sha256);
    }
  }

 private:
  void CheckPlans(const ZoneDeclaration& zone) {
    for (std::size_t i = 1; i < zone.plans.size(); ++i) {
      if (zone.plans[i - 1].at_unix_seconds != zone.plans[i].at_unix_seconds) {
        continue;
      }
      problems_.Add(
          PathOf("zones", zone.id.value(), "plans"),
          fmt::format("has two plans for {}, expected one for each time",
                      FormatCalendarTime(zone.plans[i].at_unix_seconds)));
    }
  }

  void CheckRoute(const RouteDeclaration& route) {
    for (const std::string& method : route.methods) {
      if (IsMethod(method)) continue;
      problems_.Add(PathOf("routes", route.id, "methods"),
                    fmt::format("has \"{}\", expected methods in upper case, "
                                "such as \"GET\"",
                                method));
    }
    if (!route.path_prefix.empty() && !IsPathPrefix(route.path_prefix)) {
      problems_.Add(
          PathOf("routes", route.id, "path_prefix"),
          fmt::format("is \"{}\", expected whole segments without a slash at "
                      "the end, such as \"/permits\"",
                      route.path_prefix));
    }
    if (route.service.empty()) return;
    CheckService(PathOf("routes", route.id, "service"), route.service);
  }

  void CheckEqualRoutes() {
    std::map<std::string_view, std::vector<const RouteDeclaration*>> by_path;
    for (const auto& route : declarations_.routes) {
      if (route.path_prefix.empty()) continue;
      auto& others = by_path[route.path_prefix];
      for (const RouteDeclaration* other : others) {
        if (!ShareMethod(*other, route)) continue;
        problems_.Add(
            PathOf("routes", route.id, "path_prefix"),
            fmt::format("is \"{}\" with a method in common with route "
                        "\"{}\", expected one route for each match",
                        route.path_prefix, other->id));
      }
      others.push_back(&route);
    }
  }

  void CheckService(const std::string& path, const ServiceId& service) {
    if (services_.contains(service)) return;
    problems_.Add(path, fmt::format("names \"{}\", expected a service of "
                                    "/services",
                                    service.value()));
  }

  void CheckKey(const KeyDeclaration& key) {
    CheckDigest(PathOf("keys", key.id, "sha256"), key.sha256);
    if (key.workspace.empty() || workspaces_.contains(key.workspace)) return;
    problems_.Add(PathOf("keys", key.id, "workspace"),
                  fmt::format("names \"{}\", expected a workspace of "
                              "/workspaces",
                              key.workspace.value()));
  }

  // One key has one holder, and an operator's key is not a caller's.
  void CheckDigest(const std::string& path, const std::string& digest) {
    if (digest.empty()) return;
    const auto [first, added] = digests_.emplace(digest, path);
    if (added) return;
    problems_.Add(path, fmt::format("is the same as {}, expected a key of its "
                                    "own",
                                    first->second));
  }

  const Declarations& declarations_;
  Problems& problems_;
  std::set<ServiceId> services_;
  std::set<WorkspaceId> workspaces_;
  std::map<std::string_view, std::string> digests_;
};

}  // namespace

void CheckDeclarations(const Declarations& declarations, Problems& problems) {
  Checker(declarations, problems).Check();
}

}  // namespace sapphirebank
