#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "sapphirebank/core/byte_budget.h"
#include "sapphirebank/request/answer_sequence.h"
#include "sapphirebank/transport/http_message.h"

namespace sapphirebank {

using AnswerParser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

inline constexpr std::uint32_t kMaxAnswerHeadBytes = 64 * 1024;

// Bytes of an answer that are read ahead of its parser. A head, a chunk header
// or a trailer section beyond it is not read to its end.
inline constexpr std::size_t kMaxUnparsedBytes =
    2 * std::size_t{kMaxAnswerHeadBytes};

// Bytes that one read may add, at least and at most. It grows with the body, so
// that long bodies take few reads.
inline constexpr std::size_t kMinReadBytes = std::size_t{8} << 10U;
inline constexpr std::size_t kMaxReadBytes = std::size_t{64} << 10U;

// Returns the status and the fields of a head.
inline HttpAnswer AnswerOf(
    const boost::beast::http::response_header<>& header) {
  HttpAnswer answer;
  answer.status = static_cast<int>(header.result_int());
  for (const auto& field : header) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    answer.fields.push_back({std::move(name), std::string(field.value())});
  }
  return answer;
}

// Returns, of a connection whose end was read, whether that end may be the end
// of a body without a length: it was orderly, and the whole request was sent.
using EndCheck = std::function<bool()>;

// Reads and parses at most `count` bytes. Returns false, and reads nothing,
// when the answer may not take that much more memory. A body that is ended by
// the connection's end is complete only if `is_orderly` says so, else the error
// is that of a reset.
template <typename Stream>
boost::asio::awaitable<bool> ReadSome(
    Stream& stream, boost::beast::flat_buffer& buffer, AnswerParser& parser,
    ByteReservation& memory, std::size_t count, const EndCheck& is_orderly,
    boost::system::error_code& error) {
  const auto bytes_held = [&] {
    return buffer.capacity() + parser.get().body().capacity();
  };
  if (!memory.TryResize(bytes_held() + count)) co_return false;
  buffer.max_size(std::min(kMaxUnparsedBytes, buffer.size() + count));
  co_await boost::beast::http::async_read_some(
      stream, buffer, parser,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
  if (!error && parser.is_done() && parser.need_eof() && !is_orderly()) {
    error = boost::asio::error::connection_reset;
  }
  if (!error) memory.TryResize(bytes_held());
  co_return true;
}

// Reads from a connection until the answer to the request that was sent last,
// as an AnswerSequence finds it.
template <typename Stream>
class OwnAnswerReader {
 public:
  OwnAnswerReader(Stream& stream, boost::beast::flat_buffer& buffer,
                  ByteReservation& memory, EndCheck is_orderly)
      : stream_(stream),
        buffer_(buffer),
        memory_(memory),
        is_orderly_(std::move(is_orderly)) {
    assert(is_orderly_);
  }

  // Answers have no body, whatever their heads say.
  void set_head_only(bool head_only) { head_only_ = head_only; }

  // Bodies are read up to this size.
  void set_max_body_bytes(std::uint64_t bytes) { max_body_bytes_ = bytes; }

  // Called with the status of each head; ends the reading by false.
  void set_on_head(std::function<bool(int status)> hook) {
    on_head_ = std::move(hook);
  }

  // Reads up to the end of the own answer's head. Returns false when there is
  // none, with the error of the connection, if any.
  boost::asio::awaitable<bool> ReadHead(AnswerSequence& sequence,
                                        boost::system::error_code& error) {
    while (true) {
      StartAnswer();
      co_await ReadOneHead(error);
      if (error) co_return false;
      head_ = AnswerOf(parser_->get());
      if (on_head_ && !on_head_(head_.status)) co_return false;
      const AnswerSequence::Verdict verdict = sequence.JudgeHead(
          {head_.status, parser_->get().reason(), head_.fields});
      if (verdict == AnswerSequence::Verdict::kReject) co_return false;
      if (verdict == AnswerSequence::Verdict::kAccept) co_return true;
      co_await ReadBody(error);
      if (error || !parser_->is_done()) co_return false;
      if (!sequence.RecordSkipped(parser_->get().body())) co_return false;
    }
  }

  // Reads the body until it is complete, has more than the maximum size, or may
  // not take more memory. The last is an error only where nothing was read.
  boost::asio::awaitable<void> ReadBody(boost::system::error_code& error) {
    const auto length = parser_->content_length();
    if (length && *length > max_body_bytes_) co_return;
    const std::string& body = parser_->get().body();
    while (!error && !parser_->is_done() && body.size() <= max_body_bytes_) {
      const std::size_t count =
          std::clamp(body.size(), kMinReadBytes, kMaxReadBytes);
      const bool has_memory = co_await ReadSome(
          stream_, buffer_, *parser_, memory_, count, is_orderly_, error);
      if (has_memory) continue;
      if (body.empty()) error = boost::asio::error::no_memory;
      co_return;
    }
  }

  // Returns whether only the end of the connection ends the body of the answer
  // whose head was read last.
  bool EndsWithConnection() const { return parser_->need_eof(); }

  // Returns the status and the fields of the last head, without those of a
  // trailer section, which the parser adds to its own.
  HttpAnswer TakeHead() { return std::move(head_); }

  std::unique_ptr<AnswerParser> TakeParser() { return std::move(parser_); }

 private:
  void StartAnswer() {
    parser_ = std::make_unique<AnswerParser>();
    parser_->header_limit(kMaxAnswerHeadBytes);
    parser_->body_limit(UINT64_MAX);
    if (head_only_) parser_->skip(true);
  }

  boost::asio::awaitable<void> ReadOneHead(boost::system::error_code& error) {
    while (!error && !parser_->is_header_done()) {
      const bool has_memory =
          co_await ReadSome(stream_, buffer_, *parser_, memory_, kMinReadBytes,
                            is_orderly_, error);
      if (!has_memory) error = boost::asio::error::no_memory;
    }
  }

  Stream& stream_;
  boost::beast::flat_buffer& buffer_;
  ByteReservation& memory_;
  EndCheck is_orderly_;
  std::unique_ptr<AnswerParser> parser_;
  HttpAnswer head_;
  std::function<bool(int)> on_head_;
  std::uint64_t max_body_bytes_ = UINT64_MAX;
  bool head_only_ = false;
};

}  // namespace sapphirebank
