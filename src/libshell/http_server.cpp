#include "chervilkeel/http_server.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "chervilkeel/log.h"
#include "http_session.h"

namespace chervilkeel {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

namespace {

constexpr const char* kPart = "http";
constexpr int kBacklog = 1'024;
constexpr std::chrono::milliseconds kAcceptPause(50);

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

http_server::http_server(asio::io_context& context,
                         http_server_options options,
                         http_handler handler)
    : context_(context),
      options_(std::move(options)),
      handler_(std::move(handler)),
      admission_(options_.admission
                     ? options_.admission
                     : std::make_shared<http_admission>(http_limits())),
      listener_(admission_->AddListener(options_.share)),
      acceptor_(asio::make_strand(context)),
      accept_timer_(acceptor_.get_executor()) {}

result<void> http_server::Start() {
  beast::error_code failure;
  const tcp::endpoint where(
      asio::ip::make_address(options_.listen.address, failure),
      options_.listen.port);
  acceptor_.open(where.protocol(), failure);
  acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  acceptor_.bind(where, failure);
  if (!failure) {
    acceptor_.listen(kBacklog, failure);
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
          self->AcceptAfterPause();
          return;
        }
        self->Serve(std::move(socket));
        if (!self->stopping_) {
          self->Accept();
        }
      });
}

// Without descriptors each try fails at once, so that the process would do
// nothing else.
void http_server::AcceptAfterPause() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([self = shared_from_this()](beast::error_code) {
    if (!self->stopping_) {
      self->Accept();
    }
  });
}

std::uint64_t http_server::BodyLimit() const {
  return options_.present_body_limit
             ? std::min(options_.present_body_limit(), options_.body_limit)
             : options_.body_limit;
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
  if (options_.connections > 0 && connections_ >= options_.connections) {
    return;
  }
  beast::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session =
      std::make_shared<http_session>(std::move(socket), shared_from_this());
  if (session->IsAdmitted()) {
    session->Run();
  }
}

}  // namespace chervilkeel
