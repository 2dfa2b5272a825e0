// One connection of an HTTP server: reads requests within the limits of the
// admission and writes their answers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/http_admission.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/json_extent.h"

namespace chervilkeel {

// One connection. It owns itself: each pending operation holds a reference.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(boost::asio::ip::tcp::socket socket,
               std::shared_ptr<http_server> server)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        server_(std::move(server)),
        limits_(server_->admission_->Limits()) {
    ++server_->connections_;
  }

  ~http_session() { --server_->connections_; }

  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  // Asks for a share of the process's memory and descriptors.
  bool IsAdmitted() {
    boost::beast::error_code ignored;
    admitted_ = server_->admission_->Admit(
        server_->listener_,
        socket_.remote_endpoint(ignored).address().to_string(), MonotonicNow(),
        [executor = socket_.get_executor(), weak = weak_from_this()] {
          boost::asio::post(executor, [weak] {
            if (const auto self = weak.lock()) {
              self->Displace();
            }
          });
        });
    return admitted_ != nullptr;
  }

  void Run() {
    boost::asio::dispatch(socket_.get_executor(),
                          [self = shared_from_this()] { self->Next(); });
  }

 private:
  static constexpr millis kLinger = 5'000;
  // A process that was paused finds its timers ended before it sees what
  // clients have sent in the meantime, so each gets this time to be read.
  static constexpr millis kLateLoop = 500;
  static constexpr std::size_t kDiscardBytes = 4'096;
  // A header that is read in one piece may be followed by so much of the body,
  // or of the next requests.
  static constexpr std::size_t kReadBytes = 8'192;
  // A client that sends or reads less than this has made no progress: a few
  // bytes now and then must not keep a connection from being closed first.
  static constexpr std::uint64_t kProgressBytes = 16'384;
  static constexpr std::size_t kHeaderReadBytes = 1'024;
  static constexpr std::size_t kHeaderEndBytes = 4;  // Of the empty line.
  // A field in the parser and in the request: nodes, names and values.
  static constexpr std::uint64_t kFieldBytes = 256;
  // Of a method that takes no body; some clients send an empty object.
  static constexpr std::uint64_t kNoBody = 1'024;

  // What the connection holds of the budget while a request has this body.
  std::uint64_t Bytes(std::uint64_t body) const {
    return buffer_.capacity() + header_bytes_ + body;
  }

  bool Hold(std::uint64_t bytes) {
    return admitted_->Hold(bytes, MonotonicNow());
  }

  // Ends the pending operation at `at`; 0: never. The timer goes on when the
  // time is put off, so that this is cheap for each piece of a body.
  void SetDeadline(millis at) {
    deadline_ = at;
    is_late_ = false;
    if (at != 0 && (timer_end_ == 0 || at < timer_end_)) {
      Arm();
    }
  }

  void Arm() {
    timer_end_ = deadline_;
    timer_.expires_after(std::chrono::milliseconds(
        std::max<millis>(deadline_ - MonotonicNow(), 1)));
    timer_.async_wait(
        [weak = weak_from_this()](boost::beast::error_code failure) {
          const auto self = weak.lock();
          if (failure || !self) {
            return;
          }
          self->timer_end_ = 0;
          if (self->deadline_ == 0) {
            return;
          }
          const millis now = MonotonicNow();
          if (now > self->deadline_ + kLateLoop) {
            self->deadline_ = now + kLateLoop;
          }
          if (now < self->deadline_) {
            self->Arm();
            return;
          }
          self->is_late_ = true;
          boost::beast::error_code ignored;
          self->socket_.cancel(ignored);
        });
  }

  void Displace() {
    admitted_->Refuse(
        refusal_cause::kDisplaced, http_admission::kStalledAfter,
        static_cast<std::uint64_t>(admitted_->WithoutProgress(MonotonicNow())),
        MonotonicNow());
    Close();
  }

  // Waits for the next request without a buffer; what the last one has left of
  // requests sent ahead is read first.
  void Next() {
    parser_.reset();
    serializer_.reset();
    response_.reset();
    header_bytes_ = 0;
    if (buffer_.size() > 0) {
      ReadHeader();
      return;
    }
    buffer_ = boost::beast::flat_buffer();
    Hold(0);
    admitted_->Enter(connection_stage::kIdle, MonotonicNow());
    SetDeadline(MonotonicNow() +
                static_cast<millis>(server_->options_.idle_ms));
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [self = shared_from_this()](boost::beast::error_code failure) {
          if (failure) {
            self->Close();
          } else {
            self->ReadHeader();
          }
        });
  }

  void ReadHeader() {
    const millis now = MonotonicNow();
    admitted_->Enter(connection_stage::kReceiving, now);
    body_limit_ = server_->BodyLimit();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(body_limit_);
    buffer_.max_size(limits_.header_bytes + kReadBytes);
    header_bytes_ = limits_.header_bytes;
    if (!Hold(Bytes(0))) {
      ++server_->in_flight_;
      RefuseBusy(Bytes(0));
      return;
    }
    SetDeadline(now + limits_.header_time);
    scanned_ = 0;
    ScanHeader();
  }

  // Counts the lines of a header before it is parsed: a parsed field takes
  // twenty times the bytes of the shortest line.
  void ScanHeader() {
    const auto data = buffer_.data();
    const std::string_view text(static_cast<const char*>(data.data()),
                                data.size());
    const std::size_t end = text.find("\r\n\r\n", scanned_);
    if (end == std::string_view::npos && text.size() < limits_.header_bytes) {
      scanned_ = text.size() - std::min(text.size(), kHeaderEndBytes - 1);
      ReadMoreHeader();
      return;
    }
    const auto fields = static_cast<std::uint64_t>(std::count(
        text.begin(), text.begin() + std::min(end, text.size()), '\n'));
    if (fields > limits_.header_fields) {
      ++server_->in_flight_;
      Refuse(refusal_cause::kHeaderFields, 431, limits_.header_fields, fields,
             "the header has more than " +
                 std::to_string(limits_.header_fields) + " fields");
      return;
    }
    boost::beast::http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](boost::beast::error_code failure,
                                    std::size_t) { self->OnHeader(failure); });
  }

  void ReadMoreHeader() {
    socket_.async_read_some(
        buffer_.prepare(kHeaderReadBytes),
        [self = shared_from_this()](boost::beast::error_code failure,
                                    std::size_t size) {
          self->buffer_.commit(size);
          if (failure) {
            self->OnHeader(failure);
          } else {
            self->ScanHeader();
          }
        });
  }

  // A request counts as in flight from its header on, so that a shutdown waits
  // for a body that is still arriving.
  void OnHeader(boost::beast::error_code failure) {
    ++server_->in_flight_;
    if (failure) {
      OnReadFailed(failure, refusal_cause::kHeaderTime, limits_.header_time);
      return;
    }
    const auto& message = parser_->get();
    const auto fields = static_cast<std::uint64_t>(
        std::distance(message.begin(), message.end()));
    const boost::beast::http::verb method = message.method();
    const std::uint64_t declared = parser_->content_length().value_or(0);
    if (method == boost::beast::http::verb::get ||
        method == boost::beast::http::verb::head ||
        method == boost::beast::http::verb::delete_) {
      body_limit_ = std::min(body_limit_, kNoBody);
      parser_->body_limit(body_limit_);
    }
    if (declared > body_limit_) {
      RefuseBody(declared);
      return;
    }
    header_bytes_ = fields * kFieldBytes;
    if (!parser_->is_done()) {
      buffer_.reserve(std::min<std::size_t>(kReadBytes, buffer_.max_size()));
    }
    if (!Hold(Bytes(declared))) {
      RefuseBusy(Bytes(declared));
      return;
    }
    body_start_ = MonotonicNow();
    noted_ = 0;
    parser_->eager(true);
    OnBodyRead();
  }

  void ReadBody() {
    boost::beast::http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](boost::beast::error_code failure,
                                    std::size_t) {
          if (failure) {
            self->OnReadFailed(failure, refusal_cause::kBodyRate,
                               self->limits_.grace);
          } else {
            self->OnBodyRead();
          }
        });
  }

  void OnBodyRead() {
    if (parser_->is_done()) {
      Handle();
      return;
    }
    const std::string& body = parser_->get().body();
    const std::uint64_t held = std::max<std::uint64_t>(
        body.capacity(), parser_->content_length().value_or(0));
    if (!Hold(Bytes(held))) {
      RefuseBusy(Bytes(held));
      return;
    }
    NoteProgress(body.size());
    SetDeadline(limits_.LatestEnd(body_start_, body.size()));
    ReadBody();
  }

  void NoteProgress(std::uint64_t bytes) {
    if (bytes - noted_ >= kProgressBytes) {
      noted_ = bytes;
      admitted_->NoteProgress(MonotonicNow());
    }
  }

  // `limit` is the time that was allowed.
  void OnReadFailed(boost::beast::error_code failure,
                    refusal_cause late_cause,
                    millis limit) {
    if (is_late_) {
      Refuse(late_cause, 408, static_cast<std::uint64_t>(limit),
             static_cast<std::uint64_t>(limit),
             "the request was not sent in time");
      return;
    }
    if (failure == boost::beast::http::error::body_limit) {
      RefuseBody(parser_->content_length().value_or(body_limit_ + 1));
      return;
    }
    if (failure == boost::beast::http::error::header_limit ||
        failure == boost::beast::http::error::buffer_overflow) {
      Refuse(refusal_cause::kHeaderBytes, 431, limits_.header_bytes,
             buffer_.size(),
             "the header exceeds the limit of " +
                 std::to_string(limits_.header_bytes) + " bytes");
      return;
    }
    if (failure.category() == boost::beast::http::make_error_code(
                                  boost::beast::http::error::end_of_stream)
                                  .category() &&
        failure != boost::beast::http::error::end_of_stream &&
        failure != boost::beast::http::error::partial_message) {
      Answer(
          ErrorResponse(400, "the request is not HTTP: " + failure.message()));
      return;
    }
    --server_->in_flight_;
    Close();
  }

  void Refuse(refusal_cause cause,
              unsigned status,
              std::uint64_t limit,
              std::uint64_t value,
              const std::string& message) {
    admitted_->Refuse(cause, limit, value, MonotonicNow());
    Answer(ErrorResponse(status, message));
  }

  void RefuseBody(std::uint64_t size) {
    Refuse(refusal_cause::kBodyBytes, 413, body_limit_, size,
           "the body exceeds the limit of " + std::to_string(body_limit_) +
               " bytes");
  }

  void RefuseBusy(std::uint64_t bytes) {
    admitted_->Refuse(refusal_cause::kBudget, limits_.budget_bytes, bytes,
                      MonotonicNow());
    http_response busy = ErrorResponse(503, "too many requests are open");
    busy.headers.push_back({"Retry-After", "1"});
    Answer(std::move(busy));
  }

  // Answers a request that was not read whole.
  void Answer(http_response refusal) {
    close_after_ = true;
    linger_ = true;
    parser_.reset();
    buffer_ = boost::beast::flat_buffer();
    header_bytes_ = 0;
    Write(std::move(refusal));
  }

  // Returns whether the body may be parsed; answers it otherwise.
  bool IsParsable(const std::string& body) {
    const json_extent extent = MeasureJson(body);
    if (extent.depth > limits_.json_depth) {
      Refuse(refusal_cause::kJsonDepth, 413, limits_.json_depth, extent.depth,
             "the body is nested deeper than " +
                 std::to_string(limits_.json_depth));
      return false;
    }
    if (extent.values > limits_.json_values) {
      Refuse(refusal_cause::kJsonValues, 413, limits_.json_values,
             extent.values,
             "the body holds more than " + std::to_string(limits_.json_values) +
                 " values");
      return false;
    }
    return true;
  }

  void Handle() {
    auto& message = parser_->get();
    if (server_->options_.takes_json && !IsParsable(message.body())) {
      return;
    }
    const std::uint64_t in_service =
        Bytes(message.body().capacity() * server_->options_.copies_in_service);
    if (!Hold(in_service)) {
      RefuseBusy(in_service);
      return;
    }
    admitted_->Enter(connection_stage::kInService, MonotonicNow());
    SetDeadline(0);
    close_after_ = !message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    request.content_type =
        std::string(message[boost::beast::http::field::content_type]);
    for (const auto& field : message) {
      request.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    parser_.reset();
    server_->handler_(
        std::move(request), [self = shared_from_this()](http_response answer) {
          boost::asio::post(self->socket_.get_executor(),
                            [self, answer = std::move(answer)]() mutable {
                              self->Write(std::move(answer));
                            });
        });
  }

  void Write(http_response answer) {
    if (server_->draining_) {
      close_after_ = true;
      linger_ = true;
    }
    response_.emplace(static_cast<boost::beast::http::status>(answer.status),
                      11);
    response_->set(boost::beast::http::field::content_type,
                   answer.content_type);
    for (const http_header& header : answer.headers) {
      response_->set(header.name, header.value);
    }
    response_->keep_alive(!close_after_);
    response_->body() = std::move(answer.body);
    response_->prepare_payload();
    serializer_.emplace(*response_);
    const millis now = MonotonicNow();
    // The request may have had effects, so its answer is sent in any case.
    admitted_->HoldAnyway(Bytes(response_->body().size()));
    admitted_->Enter(connection_stage::kAnswering, now);
    write_start_ = now;
    written_ = 0;
    noted_ = 0;
    WriteSome();
  }

  void WriteSome() {
    SetDeadline(limits_.LatestEnd(write_start_, written_));
    boost::beast::http::async_write_some(
        socket_, *serializer_,
        [self = shared_from_this()](boost::beast::error_code failure,
                                    std::size_t size) {
          self->written_ += size;
          self->NoteProgress(self->written_);
          if (failure || self->serializer_->is_done()) {
            self->OnWritten(failure);
          } else {
            self->WriteSome();
          }
        });
  }

  void OnWritten(boost::beast::error_code failure) {
    --server_->in_flight_;
    if (is_late_ && failure) {
      admitted_->Refuse(refusal_cause::kAnswerRate, limits_.bytes_per_s,
                        written_, MonotonicNow());
    }
    if (!failure && linger_) {
      boost::beast::error_code ignored;
      socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
      serializer_.reset();
      response_.reset();
      buffer_ = boost::beast::flat_buffer();
      SetDeadline(MonotonicNow() + kLinger);
      Discard();
    } else if (failure || close_after_) {
      Close();
    } else {
      Next();
    }
  }

  // Reads what the peer still sends: closing with unread bytes would reset the
  // connection and take the refusal with it.
  void Discard() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kDiscardBytes),
                            [self = shared_from_this()](
                                boost::beast::error_code failure, std::size_t) {
                              if (failure) {
                                self->Close();
                              } else {
                                self->Discard();
                              }
                            });
  }

  void Close() {
    deadline_ = 0;
    boost::beast::error_code ignored;
    timer_.cancel();
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<http_server> server_;
  const http_limits& limits_;
  std::unique_ptr<admitted_connection> admitted_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
      response_;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      serializer_;
  std::uint64_t body_limit_ = 0;
  std::size_t scanned_ = 0;         // Of the buffer: no header ends before.
  std::uint64_t header_bytes_ = 0;  // Held for the header and its fields.
  std::uint64_t written_ = 0;
  std::uint64_t noted_ = 0;  // Bytes of the transfer at the last progress.
  millis body_start_ = 0;
  millis write_start_ = 0;
  millis deadline_ = 0;   // 0: none.
  millis timer_end_ = 0;  // 0: the timer does not run.
  bool is_late_ = false;  // The deadline has ended the pending operation.
  bool close_after_ = false;
  bool linger_ = false;
};

}  // namespace chervilkeel
