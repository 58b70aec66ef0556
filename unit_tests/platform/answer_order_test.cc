#include <catch2/catch.hpp>

#include "unit_tests/platform/answer_order_simulation.h"

namespace sapphirebank {
namespace {

// Returns the statement of the answer that is taken for that to the request
// with id q2 on a used connection, with status 0 for none.
AnswerStatement ReadStatement(const std::string& bytes) {
  boost::asio::io_context loop;
  boost::beast::test::stream stream(loop);
  stream.append(bytes);
  stream.close_remote();
  boost::beast::flat_buffer buffer;
  ByteReservation memory(
      std::make_shared<ByteBudget>(std::size_t{1} << 20U, 1.0));
  OwnAnswerReader reader(stream, buffer, memory, [] { return true; });
  AnswerSequence sequence(true, [](const HeaderFields& fields) {
    const auto id = FieldValue(fields, "sapphirebank-request-id");
    if (id.empty()) return AnswerMatch::kUnknown;
    return id == "q2" ? AnswerMatch::kOwn : AnswerMatch::kOther;
  });
  bool is_own = false;
  boost::system::error_code error;
  const auto read = [&]() -> boost::asio::awaitable<void> {
    is_own = co_await reader.ReadHead(sequence, error);
  };
  boost::asio::co_spawn(loop, read(), boost::asio::detached);
  loop.run();
  AnswerStatement statement;
  if (!is_own) return statement;
  const HttpAnswer answer = reader.TakeHead();
  statement.status = answer.status;
  statement.not_run =
      !FieldValue(answer.fields, "sapphirebank-not-executed").empty();
  statement.match = sequence.match();
  statement.is_first_answer = sequence.is_first();
  return statement;
}

// An answer to an earlier request whose body, of as many bytes, is missing.
std::string WithoutBody(int bytes) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nSapphirebank-Request-Id: q1\r\n"
      "Content-Length: {}\r\n\r\n",
      bytes);
}

const std::string kRejectionBegins =
    "HTTP/1.1 503 Busy\r\nSapphirebank-Not-Executed: 1\r\nServer: ";
const std::string kRestOfOwn =
    "\r\nSapphirebank-Request-Id: q2\r\nContent-Length: 0\r\n\r\n";

// Guards against MIXED: the body of a cut copy takes the own answer's status
// line, and a second copy puts another one in its place.
TEST_CASE("a status line in the body of a copy ends the connection",
          "[request]") {
  const std::string line = "HTTP/1.1 200 OK";
  const AnswerStatement statement =
      ReadStatement(WithoutBody(static_cast<int>(line.size())) + line +
                    kRejectionBegins + kRestOfOwn);
  CHECK(statement.status == 0);
}

// Guards against REFUSED by the same, with the status line itself in two parts.
TEST_CASE("an answer behind another one proves nothing", "[request]") {
  const AnswerStatement statement = ReadStatement(
      WithoutBody(10) + "HTTP/1.1 2" + kRejectionBegins + "00 OK" + kRestOfOwn);
  CHECK(statement.status == 503);
  CHECK(statement.not_run);
  CHECK(EvidenceOf(statement, true) == NotRunEvidence::kNone);
}

// Guards against REFUSED, MIXED and TWICE by any order of the bytes that a
// faulty server writes on a kept connection.
TEST_CASE("no order of a server's bytes makes a wrong promise", "[request]") {
  constexpr int kSeeds = 1000;
  constexpr int kRequests = 30;
  AnswerOrderSimulation::Coverage all;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    AnswerOrderSimulation simulation(static_cast<std::uint64_t>(seed));
    simulation.Run(kRequests);
    CHECK(simulation.violations().refused_and_ran == 0);
    CHECK(simulation.violations().status_of_another == 0);
    CHECK(simulation.violations().ran_twice == 0);
    CHECK(simulation.violations().invalid_status == 0);
    CHECK(simulation.violations().part_as_whole == 0);
    CHECK(simulation.violations().spoiled_success == 0);
    all.promises += simulation.coverage().promises;
    all.passed_on += simulation.coverage().passed_on;
    all.in_doubt += simulation.coverage().in_doubt;
    all.stray_copies += simulation.coverage().stray_copies;
    all.same_id_again += simulation.coverage().same_id_again;
    all.invalid_statuses += simulation.coverage().invalid_statuses;
    all.spoiled_answers += simulation.coverage().spoiled_answers;
    all.whole_without_length += simulation.coverage().whole_without_length;
    all.broken_without_length += simulation.coverage().broken_without_length;
  }
  CAPTURE(all.promises, all.passed_on, all.in_doubt, all.stray_copies,
          all.same_id_again, all.invalid_statuses, all.spoiled_answers,
          all.whole_without_length, all.broken_without_length);
  // Every kind of end is drawn often.
  for (const int count :
       {all.promises, all.passed_on, all.in_doubt, all.stray_copies,
        all.same_id_again, all.invalid_statuses, all.spoiled_answers,
        all.whole_without_length, all.broken_without_length}) {
    CHECK(count > kSeeds / 10);
  }
}

}  // namespace
}  // namespace sapphirebank
