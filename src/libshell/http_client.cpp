#include "chervilkeel/http_client.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace chervilkeel {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t kClientBodyLimit = 64ULL << 20U;
constexpr unsigned kOk = 200;
// Of an answer that keeps coming: a bound against a peer that never ends it.
constexpr std::chrono::seconds kLongestAnswer{60};

http::request<http::string_body> MakeRequest(const http_call& call,
                                             const endpoint& peer) {
  http::request<http::string_body> request(http::string_to_verb(call.method),
                                           call.target, 11);
  request.set(http::field::host, peer.ToString());
  request.set(http::field::content_type, call.content_type);
  for (const http_header& header : call.headers) {
    request.set(header.name, header.value);
  }
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

http_response TakeResponse(http::response<http::string_body>& message) {
  http_response response;
  response.status = message.result_int();
  response.content_type = std::string(message[http::field::content_type]);
  for (const auto& field : message) {
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  return response;
}

tcp::endpoint ToTcp(const endpoint& peer) {
  return {asio::ip::make_address(peer.address), peer.port};
}

std::string Describe(const endpoint& peer, const beast::error_code& failure) {
  return peer.ToString() + ": " + failure.message();
}

}  // namespace

result<void> http_client::Connect(millis timeout) {
  stream_ = std::make_unique<beast::tcp_stream>(context_);
  buffer_.clear();
  beast::error_code failure;
  stream_->expires_after(std::chrono::milliseconds(timeout));
  stream_->async_connect(ToTcp(peer_),
                         [&](beast::error_code code) { failure = code; });
  context_.restart();
  context_.run();
  if (failure) {
    stream_.reset();
    return Fail(error_code::kUnavailable, Describe(peer_, failure));
  }
  stream_->socket().set_option(tcp::no_delay(true), failure);
  return boost::outcome_v2::success();
}

result<http_response> http_client::Exchange(const http_call& call,
                                            millis timeout) {
  const auto request = MakeRequest(call, peer_);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kClientBodyLimit);
  beast::error_code failure;
  stream_->expires_after(std::chrono::milliseconds(timeout));
  http::async_write(
      *stream_, request, [&](beast::error_code code, std::size_t) {
        failure = code;
        if (code) {
          return;
        }
        http::async_read(*stream_, buffer_, parser,
                         [&](beast::error_code read_code, std::size_t) {
                           failure = read_code;
                         });
      });
  context_.restart();
  context_.run();
  if (failure) {
    stream_.reset();
    return Fail(error_code::kUnknown, Describe(peer_, failure));
  }
  if (!parser.get().keep_alive()) {
    stream_.reset();
  }
  return TakeResponse(parser.get());
}

result<http_response> http_client::Call(const http_call& call, millis timeout) {
  const std::lock_guard lock(mutex_);
  // A kept connection that the peer closed since would look like a lost call.
  if (stream_) {
    beast::error_code failure;
    stream_->socket().non_blocking(true, failure);
    char byte = 0;
    stream_->socket().receive(asio::buffer(&byte, 1),
                              asio::socket_base::message_peek, failure);
    if (failure != asio::error::would_block) {
      stream_.reset();
    }
  }
  if (!stream_) {
    const auto connected = Connect(timeout);
    if (!connected) {
      return connected.as_failure();
    }
  }
  return Exchange(call, timeout);
}

// One call on one connection of a pool. It owns itself until the answer.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
 public:
  http_exchange(std::shared_ptr<http_pool> pool,
                const http_call& call,
                millis timeout,
                std::uint64_t body_limit,
                http_callback callback,
                std::shared_ptr<const http_peer_check> check,
                answer_patience patience)
      : pool_(std::move(pool)),
        request_(MakeRequest(call, pool_->peer_)),
        timeout_(timeout),
        body_limit_(body_limit),
        callback_(std::move(callback)),
        check_(std::move(check)),
        answer_patience_(std::move(patience)) {}

  void Run() {
    stream_ = pool_->TakeIdle(PeerName());
    if (stream_) {
      Send();
      return;
    }
    stream_ =
        std::make_unique<beast::tcp_stream>(asio::make_strand(pool_->context_));
    stream_->expires_after(std::chrono::milliseconds(timeout_));
    stream_->async_connect(ToTcp(pool_->peer_), [self = shared_from_this()](
                                                    beast::error_code failure) {
      if (failure) {
        self->End(Fail(error_code::kUnavailable,
                       Describe(self->pool_->peer_, failure)));
        return;
      }
      beast::error_code ignored;
      self->stream_->socket().set_option(tcp::no_delay(true), ignored);
      if (self->check_) {
        self->CheckPeer();
      } else {
        self->Send();
      }
    });
  }

 private:
  using message = http::request<http::string_body>;

  std::string PeerName() const { return check_ ? check_->peer : ""; }

  // The call itself is not sent before the answer has come. A peer that answers
  // later than a call may take keeps the connection for the next one.
  void CheckPeer() {
    patience_ = std::make_unique<asio::steady_timer>(
        stream_->get_executor(), std::chrono::milliseconds(timeout_));
    patience_->async_wait([self =
                               shared_from_this()](beast::error_code failure) {
      if (!failure) {
        self->End(Fail(error_code::kUnavailable,
                       self->pool_->peer_.ToString() + ": no answer in time"));
      }
    });
    question_ = MakeRequest(check_->question, pool_->peer_);
    Exchange(question_, std::max(timeout_, check_->timeout),
             error_code::kUnavailable,
             [self = shared_from_this()] { self->OnPeerAnswer(); });
  }

  void OnPeerAnswer() {
    const bool stays_open = parser_->get().keep_alive();
    http_response answer = TakeResponse(parser_->get());
    if (answer.status != kOk) {
      End(std::move(answer));
    } else if (!check_->is_peer(answer)) {
      End(Fail(error_code::kUnavailable, pool_->peer_.ToString() +
                                             ": another server than " +
                                             check_->peer + " answers"));
    } else if (!stays_open) {
      End(Fail(
          error_code::kUnavailable,
          pool_->peer_.ToString() + ": the connection closes after a check"));
    } else if (patience_->cancel() == 0) {
      stream_->expires_never();
      pool_->GiveIdle(PeerName(), std::move(stream_));
    } else {
      Send();
    }
  }

  void Send() {
    is_patient_ = answer_patience_.pause > 0;
    Exchange(request_, timeout_, error_code::kUnknown,
             [self = shared_from_this()] { self->Finish(); });
  }

  // Sends a request and reads its answer into `parser_`.
  void Exchange(const message& request,
                millis timeout,
                error_code on_failure,
                std::function<void()> done) {
    parser_.emplace();
    parser_->body_limit(body_limit_);
    stream_->expires_after(std::chrono::milliseconds(timeout));
    http::async_write(
        *stream_, request,
        [self = shared_from_this(), on_failure, done = std::move(done)](
            beast::error_code failure, std::size_t) mutable {
          if (failure) {
            self->End(Fail(on_failure, Describe(self->pool_->peer_, failure)));
            return;
          }
          self->Read(on_failure, std::move(done));
        });
  }

  void Read(error_code on_failure, std::function<void()> done) {
    if (is_patient_) {
      ReadParts(on_failure, std::move(done));
      return;
    }
    http::async_read(
        *stream_, buffer_, *parser_,
        [self = shared_from_this(), on_failure, done = std::move(done)](
            beast::error_code failure, std::size_t) {
          if (failure) {
            self->End(Fail(on_failure, Describe(self->pool_->peer_, failure)));
            return;
          }
          done();
        });
  }

  // Reads the answer by parts, each with a timeout of its own.
  void ReadParts(error_code on_failure, std::function<void()> done) {
    http::async_read_some(
        *stream_, buffer_, *parser_,
        [self = shared_from_this(), on_failure, done = std::move(done)](
            beast::error_code failure, std::size_t) mutable {
          if (failure) {
            self->End(Fail(on_failure, Describe(self->pool_->peer_, failure)));
          } else if (self->parser_->is_done()) {
            done();
          } else {
            self->NotePart();
            self->ReadParts(on_failure, std::move(done));
          }
        });
  }

  void NotePart() {
    const auto now = std::chrono::steady_clock::now();
    if (!answer_ends_) {
      answer_ends_ = now + kLongestAnswer;
      if (answer_patience_.begun) {
        answer_patience_.begun();
      }
    }
    stream_->expires_at(
        std::min(*answer_ends_,
                 now + std::chrono::milliseconds(answer_patience_.pause)));
  }

  void Finish() {
    if (parser_->get().keep_alive()) {
      stream_->expires_never();
      pool_->GiveIdle(PeerName(), std::move(stream_));
    }
    End(TakeResponse(parser_->get()));
  }

  void End(result<http_response> outcome) {
    if (patience_) {
      patience_->cancel();
    }
    if (const http_callback callback = std::exchange(callback_, nullptr)) {
      callback(std::move(outcome));
    }
  }

  std::shared_ptr<http_pool> pool_;
  const message request_;
  message question_;
  const millis timeout_;
  const std::uint64_t body_limit_;
  http_callback callback_;
  const std::shared_ptr<const http_peer_check> check_;
  const answer_patience answer_patience_;
  bool is_patient_ =
      false;  // From the call on; not with the check of the peer.
  std::optional<std::chrono::steady_clock::time_point> answer_ends_;  // Latest.
  std::unique_ptr<asio::steady_timer> patience_;  // With the check of the peer.
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

http_pool::http_pool(asio::io_context& context,
                     endpoint peer,
                     std::size_t idle_limit)
    : context_(context), peer_(std::move(peer)), idle_limit_(idle_limit) {}

void http_pool::Call(const http_call& call,
                     millis timeout,
                     std::uint64_t body_limit,
                     http_callback callback,
                     std::shared_ptr<const http_peer_check> check,
                     answer_patience patience) {
  std::make_shared<http_exchange>(shared_from_this(), call, timeout, body_limit,
                                  std::move(callback), std::move(check),
                                  std::move(patience))
      ->Run();
}

// Skips kept connections that the peer has closed: a request written to one
// would count as possibly run.
std::unique_ptr<beast::tcp_stream> http_pool::TakeIdle(
    const std::string& peer) {
  const std::lock_guard lock(mutex_);
  for (std::size_t i = idle_.size(); i-- > 0;) {
    if (idle_[i].peer != peer) {
      continue;
    }
    auto stream = std::move(idle_[i].stream);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    beast::error_code failure;
    char byte = 0;
    stream->socket().non_blocking(true, failure);
    stream->socket().receive(asio::buffer(&byte, 1),
                             asio::socket_base::message_peek, failure);
    if (failure == asio::error::would_block) {
      return stream;
    }
  }
  return nullptr;
}

void http_pool::GiveIdle(const std::string& peer,
                         std::unique_ptr<beast::tcp_stream> stream) {
  const std::lock_guard lock(mutex_);
  idle_.push_back({peer, std::move(stream)});
  if (idle_.size() > idle_limit_) {
    idle_.erase(idle_.begin());
  }
}

}  // namespace chervilkeel
