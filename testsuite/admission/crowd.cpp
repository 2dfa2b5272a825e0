#include "crowd.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>

namespace chervilkeel::admission {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr millis kReadInterval = 100;
constexpr std::size_t kLegalBody = 262'144;
constexpr std::size_t kLargeBody = 4U << 20U;
constexpr std::size_t kChunk = 1'024;
constexpr std::size_t kShortFields = 2'000;  // 8,000 bytes.
constexpr std::size_t kPipelined = 8;
// Answered with a finding for each number, if nothing bounds the answer.
constexpr std::size_t kNumbers = 100'000;

std::string Head(const std::string& target, const std::string& fields) {
  return "POST " + target + " HTTP/1.1\r\nHost: jobs.example\r\n" + fields +
         "\r\n";
}

std::string WithLength(const std::string& target, std::size_t length) {
  return Head(target, "Content-Length: " + std::to_string(length) + "\r\n");
}

// A body whose last byte does not come.
std::string StoppedBody(const std::string& target, std::size_t length) {
  return WithLength(target, length) + std::string(length - 1, 'x');
}

std::string LegalBody(const std::string& target) {
  return StoppedBody(target, kLegalBody);
}

std::string LargeBody(const std::string& target) {
  return StoppedBody(target, kLargeBody);
}

// Chunks without the last, empty one.
std::string Chunks(const std::string& target, std::size_t bytes) {
  std::string text = Head(target, "Transfer-Encoding: chunked\r\n");
  for (std::size_t sent = 0; sent < bytes; sent += kChunk) {
    text += "400\r\n" + std::string(kChunk, 'x') + "\r\n";
  }
  return text;
}

std::string LegalChunks(const std::string& target) {
  return Chunks(target, kLegalBody - kChunk);
}

std::string LargeChunks(const std::string& target) {
  return Chunks(target, kLargeBody - kChunk);
}

std::string HeaderFields(const std::string& target) {
  std::string fields;
  for (std::size_t i = 0; i < kShortFields; ++i) {
    fields += "a:\r\n";
  }
  return Head(target, fields + "Content-Length: 2\r\n") + "x";
}

std::string HalfHeader(const std::string& target) {
  return "POST " + target + " HTTP/1.1\r\nHost: jobs.ex";
}

std::string SmallRequest(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
}

// A whole job of legal size.
std::string Job(const std::string& target, const std::string& steps) {
  const std::string body = R"({"spec":"x","steps":[)" + steps + "]}";
  return WithLength(target, body.size()) + body;
}

std::string ManyValues(const std::string& target) {
  std::string numbers = "9";
  for (std::size_t i = 1; i < kNumbers; ++i) {
    numbers += ",9";
  }
  return Job(target, R"({"count":1,"after":[)" + numbers + "]}");
}

std::string Pipelined(const std::string& target) {
  std::string text;
  for (std::size_t i = 0; i < kPipelined; ++i) {
    text += ManyValues(target);
  }
  return text;
}

// The numbers of clients are those of the page, 300 or 900, but where each
// answer takes megabytes on a server that bounds nothing, and where the limit
// of descriptors is lowered for the test.
constexpr crowd_form kForms[] = {
    {.name = "whole", .clients = 900, .text = LegalBody},
    {.name = "pieces",
     .clients = 900,
     .text = LegalBody,
     .slice = 4'096,
     .pause = 1},
    {.name = "chunks", .clients = 900, .text = LegalChunks},
    {.name = "oversize", .clients = 300, .text = LargeBody},
    {.name = "oversize_chunks", .clients = 300, .text = LargeChunks},
    {.name = "header_fields", .clients = 900, .text = HeaderFields},
    {.name = "slow_senders",
     .clients = 900,
     .text = LegalBody,
     .slice = 32'768,
     .pause = 400},
    {.name = "half_headers",
     .clients = 900,
     .text = HalfHeader,
     .descriptors = 512},
    {.name = "json_values", .clients = 60, .text = ManyValues},
    {.name = "pipelined", .clients = 60, .text = Pipelined},
    {.name = "slow_readers",
     .clients = 60,
     .text = ManyValues,
     .read_bytes = 512},
    {.name = "kept_connections",
     .clients = 3'000,
     .text = SmallRequest,
     .read_bytes = 4'096,
     .is_legal = true},
};

}  // namespace

const crowd_form* FindForm(const std::string& name) {
  const auto* found =
      std::find_if(std::begin(kForms), std::end(kForms),
                   [&](const crowd_form& form) { return name == form.name; });
  return found == std::end(kForms) ? nullptr : found;
}

// One connection. Pending operations hold a reference.
class crowd::client : public std::enable_shared_from_this<client> {
 public:
  client(asio::io_context& context,
         const crowd_form& form,
         std::shared_ptr<const std::string> text)
      : socket_(context),
        send_timer_(context),
        read_timer_(context),
        form_(form),
        text_(std::move(text)) {}

  void Start(const endpoint& server) {
    const tcp::endpoint at(asio::ip::make_address(server.address), server.port);
    socket_.async_connect(at, [self = shared_from_this()](auto failure) {
      if (failure) {
        self->Close();
        return;
      }
      self->is_open_ = true;
      self->Send();
      self->Watch();
    });
  }

  void Close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    is_open_ = false;
  }

  std::size_t Sent() const { return sent_; }
  bool IsOpen() const { return is_open_; }

 private:
  void Send() {
    const std::size_t left = text_->size() - sent_;
    if (left == 0 || !is_open_) {
      return;
    }
    const std::size_t size =
        form_.slice == 0 ? left : std::min(left, form_.slice);
    socket_.async_write_some(
        asio::buffer(text_->data() + sent_, size),
        [self = shared_from_this()](auto failure, std::size_t written) {
          self->sent_ += written;
          if (failure) {
            self->Close();
            return;
          }
          self->send_timer_.expires_after(
              std::chrono::milliseconds(self->form_.pause));
          self->send_timer_.async_wait([self](auto) { self->Send(); });
        });
  }

  // Reads as much as the form reads, or only finds out that the server has
  // closed the connection.
  void Watch() {
    read_timer_.expires_after(std::chrono::milliseconds(kReadInterval));
    read_timer_.async_wait([self = shared_from_this()](auto) {
      if (!self->is_open_) {
        return;
      }
      std::string bytes(std::max<std::size_t>(self->form_.read_bytes, 1), '\0');
      boost::system::error_code failure;
      self->socket_.non_blocking(true, failure);
      self->socket_.receive(
          asio::buffer(bytes),
          self->form_.read_bytes == 0 ? tcp::socket::message_peek : 0, failure);
      if (failure && failure != asio::error::would_block) {
        self->Close();
      } else {
        self->Watch();
      }
    });
  }

  tcp::socket socket_;
  asio::steady_timer send_timer_;
  asio::steady_timer read_timer_;
  const crowd_form& form_;
  const std::shared_ptr<const std::string> text_;
  std::size_t sent_ = 0;
  bool is_open_ = false;
};

crowd::crowd(asio::io_context& context,
             const endpoint& server,
             const crowd_form& form,
             const std::string& target) {
  const auto text = std::make_shared<const std::string>(form.text(target));
  for (std::size_t i = 0; i < form.clients; ++i) {
    clients_.push_back(std::make_shared<client>(context, form, text));
    clients_.back()->Start(server);
  }
}

crowd::~crowd() {
  for (const auto& each : clients_) {
    each->Close();
  }
}

std::size_t crowd::Sent() const {
  std::size_t sent = 0;
  for (const auto& each : clients_) {
    sent += each->Sent();
  }
  return sent;
}

std::size_t crowd::Open() const {
  return static_cast<std::size_t>(
      std::count_if(clients_.begin(), clients_.end(),
                    [](const auto& each) { return each->IsOpen(); }));
}

}  // namespace chervilkeel::admission
