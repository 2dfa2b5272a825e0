#include "chervilkeel/http_server.h"

#include <optional>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "chervilkeel/log.h"

namespace chervilkeel {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr const char* kPart = "http";
constexpr std::chrono::seconds kLinger(5);
constexpr std::size_t kDiscardBytes = 65'536;

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + 10;
  }
  return -1;
}

std::string PercentDecoded(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      decoded +=
          static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

std::string http_request::Header(const std::string& name) const {
  for (const http_header& header : headers) {
    if (beast::iequals(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

std::string http_request::Query(const std::string& key) const {
  std::size_t start = 0;
  while (start <= query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == key && equals != std::string::npos) {
      return PercentDecoded(pair.substr(equals + 1));
    }
    start = end + 1;
  }
  return {};
}

http_response ErrorResponse(unsigned status, const std::string& message) {
  http_response response;
  response.status = status;
  response.body =
      boost::json::serialize(boost::json::object{{"error", message}}) + "\n";
  return response;
}

// One connection. It owns itself: each pending operation holds a reference.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(tcp::socket socket, std::shared_ptr<http_server> server)
      : stream_(std::move(socket)), server_(std::move(server)) {
    ++server_->connections_;
  }

  ~http_session() { --server_->connections_; }

  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  void Run() {
    asio::dispatch(stream_.get_executor(),
                   [self = shared_from_this()] { self->Read(); });
  }

 private:
  void Read() {
    parser_.emplace();
    parser_->body_limit(server_->options_.body_limit);
    stream_.expires_after(std::chrono::milliseconds(server_->options_.idle_ms));
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code failure, std::size_t) {
          self->OnHeader(failure);
        });
  }

  // A request counts as in flight from its header on, so that a shutdown waits
  // for a body that is still arriving.
  void OnHeader(beast::error_code failure) {
    ++server_->in_flight_;
    if (failure) {
      OnRead(failure);
      return;
    }
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code code, std::size_t) {
          self->OnRead(code);
        });
  }

  void OnRead(beast::error_code failure) {
    if (failure == http::error::body_limit) {
      Refuse(413, "the body exceeds the limit of " +
                      std::to_string(server_->options_.body_limit) + " bytes");
      return;
    }
    if (failure.category() ==
            http::make_error_code(http::error::end_of_stream).category() &&
        failure != http::error::end_of_stream &&
        failure != http::error::partial_message) {
      Refuse(400, "the request is not HTTP: " + failure.message());
      return;
    }
    if (failure) {
      --server_->in_flight_;
      Close();
      return;
    }
    Handle();
  }

  void Refuse(unsigned status, const std::string& message) {
    close_after_ = true;
    linger_ = true;
    Write(ErrorResponse(status, message));
  }

  void Handle() {
    auto& message = parser_->get();
    close_after_ = !message.keep_alive();
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
    request.content_type = std::string(message[http::field::content_type]);
    for (const auto& field : message) {
      request.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    stream_.expires_never();
    server_->handler_(
        std::move(request), [self = shared_from_this()](http_response answer) {
          asio::post(self->stream_.get_executor(),
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
    response_.emplace(static_cast<http::status>(answer.status), 11);
    response_->set(http::field::content_type, answer.content_type);
    for (const http_header& header : answer.headers) {
      response_->set(header.name, header.value);
    }
    response_->keep_alive(!close_after_);
    response_->body() = std::move(answer.body);
    response_->prepare_payload();
    stream_.expires_after(std::chrono::milliseconds(server_->options_.idle_ms));
    http::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code failure, std::size_t) {
          self->OnWritten(failure);
        });
  }

  void OnWritten(beast::error_code failure) {
    --server_->in_flight_;
    if (!failure && linger_) {
      beast::error_code ignored;
      stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
      stream_.expires_after(kLinger);
      Discard();
    } else if (failure || close_after_) {
      Close();
    } else {
      Read();
    }
  }

  // Reads what the peer still sends: closing with unread bytes would reset the
  // connection and take the refusal with it.
  void Discard() {
    buffer_.clear();
    stream_.async_read_some(
        buffer_.prepare(kDiscardBytes),
        [self = shared_from_this()](beast::error_code failure, std::size_t) {
          if (failure) {
            self->Close();
          } else {
            self->Discard();
          }
        });
  }

  void Close() {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
  }

  beast::tcp_stream stream_;
  std::shared_ptr<http_server> server_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
  bool close_after_ = false;
  bool linger_ = false;
};

http_server::http_server(asio::io_context& context,
                         http_server_options options,
                         http_handler handler)
    : context_(context),
      options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(asio::make_strand(context)) {}

result<void> http_server::Start() {
  beast::error_code failure;
  const tcp::endpoint where(
      asio::ip::make_address(options_.listen.address, failure),
      options_.listen.port);
  acceptor_.open(where.protocol(), failure);
  acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  acceptor_.bind(where, failure);
  if (!failure) {
    acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Fail(error_code::kUnavailable, "cannot listen on " +
                                              options_.listen.ToString() +
                                              ": " + failure.message());
  }
  Accept();
  return boost::outcome_v2::success();
}

void http_server::Accept() {
  acceptor_.async_accept(
      asio::make_strand(context_),
      [self = shared_from_this()](beast::error_code failure,
                                  tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
          return;
        }
        if (failure) {
          LogWarn(kPart, "Accepting a connection failed: " + failure.message());
        } else {
          self->Serve(std::move(socket));
        }
        if (!self->stopping_) {
          self->Accept();
        }
      });
}

void http_server::Drain() {
  draining_ = true;
}

void http_server::Stop() {
  draining_ = true;
  asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
    self->stopping_ = true;
    self->AcceptWaiting();
    beast::error_code ignored;
    self->acceptor_.close(ignored);
  });
}

// Takes the connections that wait in the kernel: closing the acceptor would
// reset them together with the requests that clients have sent already.
void http_server::AcceptWaiting() {
  beast::error_code failure;
  acceptor_.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(asio::make_strand(context_));
    acceptor_.accept(socket, failure);
    if (!failure) {
      Serve(std::move(socket));
    }
  }
}

void http_server::Serve(tcp::socket socket) {
  if (connections_ >= options_.connections) {
    return;
  }
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::make_shared<http_session>(std::move(socket), shared_from_this())->Run();
}

}  // namespace chervilkeel
