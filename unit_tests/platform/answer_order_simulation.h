#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/_experimental/test/stream.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "platform/request_codec.h"
#include "platform/wire_names.h"
#include "sapphirebank/request/answer_sequence.h"
#include "sapphirebank/request/execution_record.h"
#include "sapphirebank/transport/answer_reader.h"

namespace sapphirebank {

// Requests sent to a faulty server over connections in memory: those that must
// run once on one of their own each, the others on a kept one. The server
// writes copies of its answers, whole or cut at any byte, before, within and
// after later answers, breaks off, leaves out the request id and puts
// informational answers before its own. On a new connection it writes copies of
// answers that name other requests, and of rejections that name none. Some
// answers to requests that ran have the status of a rejection, or its
// statement, but never both. Some answers have no length: the end of their
// connection ends them, in order or by a reset. Some have a status that is
// none, and in place of some come bytes that look like an answer and lack what
// an answer has. What it did with each request is compared to what the caller
// is told.
class AnswerOrderSimulation {
 public:
  // What went wrong, as counts of requests.
  struct Violations {
    int refused_and_ran = 0;
    int status_of_another = 0;
    int ran_twice = 0;
    int invalid_status = 0;
    // Bodies without a length whose connection was reset, or ended with a part
    // of the request unsent, or that are not the server's.
    int part_as_whole = 0;
    // Successes without the request's id or a stamp.
    int spoiled_success = 0;
  };

  // What was drawn and how it ended, as counts of requests.
  struct Coverage {
    int promises = 0;
    int passed_on = 0;
    int in_doubt = 0;
    int stray_copies = 0;
    int same_id_again = 0;
    int invalid_statuses = 0;
    int spoiled_answers = 0;
    // Answers without a length by how their connection ended.
    int whole_without_length = 0;
    int broken_without_length = 0;
  };

  explicit AnswerOrderSimulation(std::uint64_t seed) : random_(seed) {}

  void Run(int requests) {
    for (int i = 0; i < requests; ++i) {
      Request request;
      request.idempotent = Chance(0.5);
      // A caller may send a refused request again under its id.
      const bool is_again = last_refused_ != nullptr && Chance(0.3);
      if (is_again) {
        request.id = *last_refused_;
        ++coverage_.same_id_again;
      } else {
        request.id = fmt::format("{:016x}", random_());
      }
      last_refused_.reset();
      SendUntilKnown(request);
    }
  }

  const Violations& violations() const { return violations_; }
  const Coverage& coverage() const { return coverage_; }

 private:
  static constexpr int kMaxAttempts = 3;

  struct Written {
    std::string id;
    std::string bytes;
    bool is_rejection = false;
  };

  struct Connection {
    explicit Connection(boost::asio::io_context& loop) : stream(loop) {}

    boost::beast::test::stream stream;
    boost::beast::flat_buffer buffer;
    std::vector<std::string> carried;
    // Answers that were written on it.
    std::vector<Written> written;
    // Bytes that the server writes once the next request has come.
    std::string late;
    // The server ends the connection in order and took the whole request.
    bool ends_in_order = false;
  };

  struct Request {
    std::string id;
    bool idempotent = false;
    int runs = 0;
    // Status and stamp that the server that ran it gave.
    int status = 0;
    std::string stamp;
    // Body of the last answer.
    std::string body;
    bool has_length = true;
  };

  // What the client makes of the bytes after one request.
  struct Received {
    std::optional<HttpAnswer> answer;
    // How the server ended the connection, where it did.
    bool ended_in_order = false;
    AnswerStatement statement;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  std::size_t Below(std::size_t count) { return random_() % count; }

  // Sends a request until it is answered, refused or in doubt.
  void SendUntilKnown(Request& request) {
    ExecutionRecord record;
    for (int attempts = 0; attempts < kMaxAttempts; ++attempts) {
      ExecutionRecord::Attempt attempt(record);
      const Received received = Exchange(request);
      attempt.End(received.answer
                      ? EvidenceOf(received.statement, request.idempotent)
                      : NotRunEvidence::kNone);
      if (record.MayHaveRun()) {
        CheckAnswer(request, received);
        return;
      }
    }
    if (!record.Proof()) return;
    ++coverage_.promises;
    if (request.runs > 0) ++violations_.refused_and_ran;
    last_refused_ = std::make_unique<std::string>(request.id);
  }

  void CheckAnswer(const Request& request, const Received& received) {
    if (request.runs > 1) ++violations_.ran_twice;
    if (!received.answer || PromisesNotRun(received.answer->status)) {
      ++coverage_.in_doubt;
      return;
    }
    ++coverage_.passed_on;
    const int status = received.answer->status;
    if (status < 200 || status > 599) ++violations_.invalid_status;
    if (!request.has_length) {
      ++coverage_.whole_without_length;
      const bool is_whole =
          received.ended_in_order && received.answer->body == request.body;
      if (!is_whole) ++violations_.part_as_whole;
    }
    const auto stamp = FieldValue(received.answer->fields, wire::kStamp);
    const auto id = FieldValue(received.answer->fields, wire::kRequestId);
    if (status < 300 && (stamp.empty() || id != request.id)) {
      ++violations_.spoiled_success;
    }
    const bool is_of_another =
        stamp != request.stamp &&
        std::find(stamps_.begin(), stamps_.end(), stamp) != stamps_.end();
    if (received.answer->status != request.status || is_of_another) {
      ++violations_.status_of_another;
    }
  }

  // Sends a request over a kept connection or a new one, and reads its answer.
  Received Exchange(Request& request) {
    std::shared_ptr<Connection> connection = TakeConnection(request);
    const bool is_used = !connection->carried.empty();
    connection->carried.push_back(request.id);
    const bool is_closed = Answer(request, *connection);
    Received received;
    received.ended_in_order = connection->ends_in_order;
    if (!request.has_length && !received.ended_in_order) {
      ++coverage_.broken_without_length;
    }
    const RequestId id(request.id);
    AnswerSequence sequence(
        is_used,
        [&](const HeaderFields& fields) {
          return codec_.match_request(fields, id);
        },
        codec_.is_genuine);
    std::size_t bytes_left = 0;
    bool is_reusable = false;
    boost::asio::co_spawn(
        loop_, Read(*connection, sequence, received, bytes_left, is_reusable),
        boost::asio::detached);
    // Ends a read that waits for bytes which do not come, as a time-out does.
    while (loop_.poll() > 0) {
    }
    connection->stream.close_remote();
    loop_.restart();
    while (loop_.poll() > 0) {
    }
    loop_.restart();
    received.statement.match = sequence.match();
    received.statement.is_first_answer = sequence.is_first();
    received.statement.is_first_request = !is_used;
    if (is_reusable && !is_closed && bytes_left == 0 &&
        !sequence.HasStrayBytes()) {
      kept_ = Reopen(*connection);
    }
    return received;
  }

  boost::asio::awaitable<void> Read(Connection& connection,
                                    AnswerSequence& sequence,
                                    Received& received, std::size_t& bytes_left,
                                    bool& is_reusable) {
    ByteReservation memory(memory_);
    const EndCheck is_orderly = [&connection] {
      return connection.ends_in_order;
    };
    OwnAnswerReader reader(connection.stream, connection.buffer, memory,
                           is_orderly);
    boost::system::error_code error;
    if (!co_await reader.ReadHead(sequence, error)) co_return;
    co_await reader.ReadBody(error);
    if (error) co_return;
    const std::unique_ptr<AnswerParser> parser = reader.TakeParser();
    if (!sequence.RecordBody(parser->get().body())) co_return;
    received.answer = reader.TakeHead();
    received.answer->body = parser->get().body();
    const HeaderFields& fields = received.answer->fields;
    received.statement.status = received.answer->status;
    received.statement.not_run = !FieldValue(fields, wire::kNotRun).empty();
    received.statement.misdirected = received.answer->status == 421;
    bytes_left = connection.buffer.size();
    is_reusable = parser->keep_alive();
  }

  // The same connection for the next request: a stream in memory cannot go on
  // after its other end was closed.
  std::shared_ptr<Connection> Reopen(const Connection& old) {
    auto connection = std::make_shared<Connection>(loop_);
    connection->carried = old.carried;
    connection->written = old.written;
    connection->late = old.late;
    return connection;
  }

  std::shared_ptr<Connection> TakeConnection(const Request& request) {
    if (!request.idempotent) return std::make_shared<Connection>(loop_);
    auto kept = std::exchange(kept_, nullptr);
    // Bytes that arrive while a connection is idle close it.
    const bool is_seen = kept && !kept->late.empty() && Chance(0.2);
    const bool has_carried =
        kept && std::find(kept->carried.begin(), kept->carried.end(),
                          request.id) != kept->carried.end();
    if (kept && !is_seen && !has_carried) return kept;
    return std::make_shared<Connection>(loop_);
  }

  // Decides what the server does with a request and writes its bytes. Returns
  // whether it closes the connection.
  bool Answer(Request& request, Connection& connection) {
    const int runs = request.runs;
    const std::string own = Decide(request);
    const bool was_rejected = request.runs == runs;
    std::string bytes = std::exchange(connection.late, std::string());
    if (Chance(0.05)) bytes += CopyOfOther(request.id);
    if (Chance(0.05)) bytes += "HTTP/1.1 102 Processing\r\n\r\n";
    std::string answer = own;
    if (request.has_length && Chance(0.1)) {
      answer.insert(Below(answer.size() + 1), Copy(connection));
    }
    if (!request.has_length) {
      // A cut answer is followed by a reset; else it could not be told.
      connection.ends_in_order = Chance(0.5);
      if (!connection.ends_in_order) answer.resize(Below(answer.size() + 1));
      connection.stream.append(bytes + answer);
      return true;
    }
    const bool breaks_off = Chance(0.05);
    if (breaks_off) answer.resize(Below(answer.size() + 1));
    bytes += answer;
    connection.written.push_back({request.id, own, was_rejected});
    written_.push_back(connection.written.back());
    if (Chance(0.1)) bytes += Copy(connection);
    while (Chance(0.4)) connection.late += Copy(connection);
    connection.stream.append(bytes);
    return breaks_off;
  }

  // Returns a part of an answer that was written on the connection, or all.
  std::string Copy(const Connection& connection) {
    if (connection.written.empty()) return "";
    ++coverage_.stray_copies;
    return Cut(connection.written[Below(connection.written.size())].bytes);
  }

  // Returns the same of an answer that was written on any connection and names
  // another request, or of a rejection that names none.
  std::string CopyOfOther(const std::string& id) {
    if (written_.empty()) return "";
    const Written& other = written_[Below(written_.size())];
    const bool names_request = other.bytes.find(other.id) != std::string::npos;
    if (other.id == id || (!names_request && !other.is_rejection)) return "";
    ++coverage_.stray_copies;
    return Cut(other.bytes);
  }

  std::string Cut(const std::string& answer) {
    return Chance(0.3) ? answer : answer.substr(0, Below(answer.size()));
  }

  // A status that HTTP does not have, or that was not asked for.
  int InvalidStatus() {
    constexpr auto kStatuses = std::to_array({0, 7, 99, 101, 600, 999});
    ++coverage_.invalid_statuses;
    return kStatuses.at(Below(kStatuses.size()));
  }

  // Returns bytes that lack the request's id, or that are a success without a
  // stamp, in place of the answer to a request that ran.
  std::string Spoiled(Request& request) {
    ++coverage_.spoiled_answers;
    constexpr std::array<int, 6> kStatuses = {200, 201, 204, 302, 400, 404};
    const int status = kStatuses.at(Below(kStatuses.size()));
    std::string fields;
    if (status < 300 && Chance(0.5)) {
      fields = fmt::format("Sapphirebank-Request-Id: {}\r\n{}", request.id,
                           Chance(0.5) ? "Sapphirebank-Server-Stamp:\r\n" : "");
    } else {
      if (Chance(0.5)) fields += "Sapphirebank-Server-Stamp: spoiled\r\n";
      if (Chance(0.5)) fields += "Sapphirebank-Not-Executed: 1\r\n";
    }
    request.body = status == 204 ? "" : "xxxx";
    request.has_length = Chance(0.5);
    if (request.has_length) {
      fields += fmt::format("Content-Length: {}\r\n", request.body.size());
    }
    return fmt::format("HTTP/1.1 {} OK\r\n{}\r\n{}", status, fields,
                       request.body);
  }

  // Runs the request or rejects it, and returns the answer. The order of the
  // fields varies from server to server.
  std::string Decide(Request& request) {
    HeaderFields fields = {{"Server", "desk/1.4"},
                           {"Content-Type", "text/plain; charset=utf-8"}};
    if (!Chance(0.1)) {
      fields.push_back({"Sapphirebank-Request-Id", request.id});
    }
    std::string line;
    std::string body(Below(40), 'b');
    const double drawn = std::uniform_real_distribution<>(0, 1)(random_);
    if (drawn < 0.1) {
      line = "421 Misdirected Request";
    } else if (drawn < 0.45) {
      line = Chance(0.5) ? "503 Service Unavailable" : "429 Too Many Requests";
      fields.push_back({"Sapphirebank-Not-Executed", "1"});
    } else {
      ++request.runs;
      request.status = drawn < 0.7    ? 200
                       : drawn < 0.9  ? 500
                       : drawn < 0.97 ? 504
                       : drawn < 0.99 ? 503
                                      : InvalidStatus();
      request.stamp = fmt::format("s{:x}.{}", random_(), request.status);
      stamps_.push_back(request.stamp);
      line = fmt::format("{:03} Some Reason", request.status);
      if (Chance(0.05)) return Spoiled(request);
      fields.push_back({"Sapphirebank-Server-Stamp", request.stamp});
      if (request.status != 503 && Chance(0.02)) {
        fields.push_back({"Sapphirebank-Not-Executed", "1"});
      }
    }
    request.body = body;
    request.has_length = !Chance(0.1);
    if (request.has_length) {
      fields.push_back({"Content-Length", std::to_string(body.size())});
    }
    std::shuffle(fields.begin(), fields.end(), random_);
    std::string answer = "HTTP/1.1 " + line + "\r\n";
    for (const HeaderField& field : fields) {
      answer += field.name + ": " + field.value + "\r\n";
    }
    return answer + "\r\n" + body;
  }

  const EntryCodec codec_ = PlatformEntryCodec();
  std::mt19937_64 random_;
  boost::asio::io_context loop_;
  std::shared_ptr<ByteBudget> memory_ =
      std::make_shared<ByteBudget>(std::size_t{1} << 20U, 1.0);
  std::shared_ptr<Connection> kept_;
  std::unique_ptr<std::string> last_refused_;
  std::vector<Written> written_;
  std::vector<std::string> stamps_;
  Violations violations_;
  Coverage coverage_;
};

}  // namespace sapphirebank
