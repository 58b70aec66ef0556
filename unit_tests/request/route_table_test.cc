#include "sapphirebank/request/route_table.h"

#include <catch2/catch.hpp>

namespace sapphirebank {
namespace {

std::shared_ptr<const RouteTable> MakeTable() {
  Declarations declarations;
  ServiceDeclaration permits;
  permits.id = ServiceId("permits");
  ServiceDeclaration guarded;
  guarded.id = ServiceId("guarded");
  guarded.announcement_sha256 = Sha256Hex("secret");
  declarations.services = {permits, guarded};
  const auto add = [&](const char* id, std::vector<std::string> methods,
                       const char* prefix, const char* service,
                       RouteAccess access) {
    RouteDeclaration route;
    route.id = id;
    route.methods = std::move(methods);
    route.path_prefix = prefix;
    route.service = ServiceId(service);
    route.access = access;
    declarations.routes.push_back(route);
  };
  add("read", {"GET"}, "/permits", "permits", RouteAccess::kKeyed);
  add("fee", {"POST"}, "/permits/fees", "permits", RouteAccess::kKeyed);
  add("clauses", {}, "/clauses/", "permits", RouteAccess::kOpen);
  add("other", {"GET"}, "/guarded", "guarded", RouteAccess::kKeyed);
  WorkspaceDeclaration kochi;
  kochi.id = WorkspaceId("kochi");
  kochi.services = {ServiceId("permits")};
  declarations.workspaces = {kochi};
  declarations.keys = {{"k1", kochi.id, Sha256Hex("key")}};
  return RouteTable::Create(7, std::move(declarations));
}

TEST_CASE("a request is authorized by its route and key", "[request]") {
  struct Row {
    const char* method;
    const char* target;
    const char* key;
    std::optional<ErrorKind> refusal;
    const char* route;
  };
  const std::string digest = Sha256Hex("key");
  const Row rows[] = {
      {"GET", "/permits", "key", std::nullopt, "read"},
      {"GET", "/permits/7?x=/clauses", "key", std::nullopt, "read"},
      {"GET", "/permits/fees/1", "key", std::nullopt, "read"},
      {"POST", "/permits/fees", "key", std::nullopt, "fee"},
      {"DELETE", "/clauses/4", "", std::nullopt, "clauses"},
      {"DELETE", "/clauses", "", std::nullopt, "clauses"},
      {"GET", "/permitsX", "key", ErrorKind::kNoRoute, ""},
      {"GET", "/", "key", ErrorKind::kNoRoute, ""},
      {"POST", "/permits", "key", ErrorKind::kMethodNotAllowed, ""},
      {"GET", "/permits", "", ErrorKind::kKeyMissing, ""},
      {"GET", "/permits", "other", ErrorKind::kKeyUnknown, ""},
      {"GET", "/permits", digest.c_str(), ErrorKind::kKeyUnknown, ""},
      {"GET", "/guarded", "key", ErrorKind::kKeyNotAllowed, ""},
  };
  const auto table = MakeTable();
  CHECK(table->revision() == 7);
  for (const Row& row : rows) {
    INFO(row.method << " " << row.target << " " << row.key);
    const auto match = table->Authorize(row.method, row.target, row.key);
    REQUIRE(match.has_value() == !row.refusal.has_value());
    if (match) {
      CHECK(match->route->id == row.route);
    } else {
      CHECK(match.error().kind == *row.refusal);
    }
  }
}

TEST_CASE("an announcement requires the service's secret", "[request]") {
  const auto table = MakeTable();
  CHECK(RouteTable::AnnouncementAllowed(*table->FindService("permits"), ""));
  const auto* guarded = table->FindService("guarded");
  CHECK(RouteTable::AnnouncementAllowed(*guarded, "secret"));
  CHECK_FALSE(RouteTable::AnnouncementAllowed(*guarded, ""));
  CHECK_FALSE(RouteTable::AnnouncementAllowed(*guarded, "Secret"));
}

}  // namespace
}  // namespace sapphirebank
