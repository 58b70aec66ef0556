#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "unit_tests/platform/entry_hosts.h"
#include "unit_tests/transport/scripted_server.h"

namespace sapphirebank {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// Far above what the buffers of a connection take, and below what is buffered.
constexpr std::size_t kDownloadBytes = std::size_t{900} << 10U;
constexpr std::size_t kLookupBytes = 5000;

std::string Head(const std::string& request_id, std::size_t size) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: {}\r\n"
      "Sapphirebank-Server-Stamp: s\r\nContent-Length: {}\r\n\r\n",
      request_id, size);
}

// Answers downloads and lookups, breaks off the first `cut_answers` of them in
// the middle, and counts those that were taken to their end.
class DownloadServer {
 public:
  explicit DownloadServer(int cut_answers = 0)
      : server_(
            [this, cut_answers](tcp::socket& socket, int number) {
              boost::system::error_code error;
              socket.set_option(
                  boost::asio::socket_base::send_buffer_size(4096), error);
              while (true) {
                const std::string head = ScriptedServer::ReadHead(socket);
                if (head.empty()) return;
                const bool is_download =
                    head.find(" /download/") != std::string::npos;
                const std::size_t size =
                    is_download ? kDownloadBytes : kLookupBytes;
                ScriptedServer::Write(socket, Head(RequestIdIn(head), size));
                const bool is_cut = number < cut_answers;
                const std::string body(is_cut ? size / 2 : size, 'x');
                boost::asio::write(socket, boost::asio::buffer(body), error);
                if (is_cut || error) return ScriptedServer::Reset(socket);
                ++taken_;
              }
            },
            /*is_concurrent=*/true) {}

  Endpoint endpoint() const { return server_.endpoint(); }

  // Waits at most two seconds until `count` answers have been taken.
  int AwaitTaken(int count) const {
    for (int i = 0; i < 200 && taken_ < count; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return taken_;
  }

 private:
  std::atomic<int> taken_ = 0;
  ScriptedServer server_;
};

// Guards against a server that cuts what is not read for seconds, and against
// its slot in use for as long: a caller that does not read keeps its answer at
// the host only.
TEST_CASE("a slow reader of a download does not hold its server",
          "[platform]") {
  DownloadServer server;
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint()}, {});
  const HttpAnswer unread = host.Send("/download/1", "q1");
  CHECK(unread.status == 200);
  CHECK(server.AwaitTaken(1) == 1);
  CHECK_FALSE(unread.stream);
  CHECK(unread.body.size() == kDownloadBytes);
  // Fast readers beside it.
  for (int i = 0; i < 10; ++i) {
    CHECK(host.Send("/lookup/1", fmt::format("l{}", i)).body.size() ==
          kLookupBytes);
  }
}

// Guards against 160 MB that are exceeded by callers that do not read.
TEST_CASE("many unread downloads stay within the memory for answers",
          "[platform]") {
  constexpr int kUnread = 120;
  const std::size_t limit = EntryHostResources().max_answer_bytes;
  REQUIRE(kUnread * kDownloadBytes > limit);
  DownloadServer server;
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint()}, {});
  std::vector<HttpAnswer> unread;
  std::size_t held = 0;
  int streamed = 0;
  for (int i = 0; i < kUnread; ++i) {
    HttpAnswer answer = host.Send("/download/1", fmt::format("d{}", i));
    CHECK(answer.status == 200);
    held += answer.body.size();
    if (answer.stream) ++streamed;
    unread.push_back(std::move(answer));
    // Small answers find room at every time.
    CHECK(host.Send("/lookup/1", fmt::format("l{}", i)).body.size() ==
          kLookupBytes);
  }
  CHECK(held <= limit);
  CHECK(streamed > 0);
  loop.Stop();
}

// A host without a hub has no budget for retries.
TEST_CASE("a download that is cut has not begun towards its caller",
          "[platform]") {
  DownloadServer server(/*cut_answers=*/1);
  LoopThread loop;
  TestEntryHost host(loop, "127.0.0.1");
  host.Update({server.endpoint()}, {});
  const HttpAnswer cut = host.Send("/download/1", "d1");
  CHECK(cut.status == 502);
  CHECK(FieldValue(cut.fields, "sapphirebank-server-stamp").empty());
  CHECK(host.Send("/download/1", "d2").body.size() == kDownloadBytes);
}

}  // namespace
}  // namespace sapphirebank
