#include "chervilkeel/http_client.h"

#include <optional>

#include <boost/asio/connect.hpp>
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
                http_callback callback)
      : pool_(std::move(pool)),
        request_(MakeRequest(call, pool_->peer_)),
        timeout_(timeout),
        callback_(std::move(callback)) {
    parser_.body_limit(body_limit);
  }

  void Run() {
    stream_ = pool_->TakeIdle();
    if (stream_) {
      Write();
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
      self->Write();
    });
  }

 private:
  void Write() {
    stream_->expires_after(std::chrono::milliseconds(timeout_));
    http::async_write(
        *stream_, request_,
        [self = shared_from_this()](beast::error_code failure, std::size_t) {
          if (failure) {
            self->End(Fail(error_code::kUnknown,
                           Describe(self->pool_->peer_, failure)));
            return;
          }
          self->Read();
        });
  }

  void Read() {
    http::async_read(
        *stream_, buffer_, parser_,
        [self = shared_from_this()](beast::error_code failure, std::size_t) {
          if (failure) {
            self->End(Fail(error_code::kUnknown,
                           Describe(self->pool_->peer_, failure)));
            return;
          }
          self->Finish();
        });
  }

  void Finish() {
    if (parser_.get().keep_alive()) {
      stream_->expires_never();
      pool_->GiveIdle(std::move(stream_));
    }
    End(TakeResponse(parser_.get()));
  }

  void End(result<http_response> outcome) {
    http_callback callback = std::move(callback_);
    callback(std::move(outcome));
  }

  std::shared_ptr<http_pool> pool_;
  const http::request<http::string_body> request_;
  const millis timeout_;
  http_callback callback_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
};

http_pool::http_pool(asio::io_context& context,
                     endpoint peer,
                     std::size_t idle_limit)
    : context_(context), peer_(std::move(peer)), idle_limit_(idle_limit) {}

void http_pool::Call(const http_call& call,
                     millis timeout,
                     std::uint64_t body_limit,
                     http_callback callback) {
  std::make_shared<http_exchange>(shared_from_this(), call, timeout, body_limit,
                                  std::move(callback))
      ->Run();
}

// Skips kept connections that the peer has closed: a request written to one
// would count as possibly run.
std::unique_ptr<beast::tcp_stream> http_pool::TakeIdle() {
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    auto stream = std::move(idle_.back());
    idle_.pop_back();
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

void http_pool::GiveIdle(std::unique_ptr<beast::tcp_stream> stream) {
  const std::lock_guard lock(mutex_);
  if (idle_.size() < idle_limit_) {
    idle_.push_back(std::move(stream));
  }
}

}  // namespace chervilkeel
