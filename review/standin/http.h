// A small HTTP/1.1 server (a thread a connection) and client, for the stand-ins
// of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

struct http_message {
  std::string method;  // Of a request.
  std::string path;
  std::string query;
  int status = 0;  // Of a response; 0: no answer.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

inline sockaddr_in SocketAddress(const address& at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
  return out;
}

inline std::string Lower(std::string text) {
  for (char& letter : text) {
    letter = static_cast<char>(std::tolower(letter));
  }
  return text;
}

// Reads one message; returns false when the connection ends or times out.
inline bool ReadMessage(int fd, std::string& buffer, http_message& out) {
  std::size_t head = 0;
  char part[16384];
  while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t got = recv(fd, part, sizeof(part), 0);
    if (got <= 0) {
      return false;
    }
    buffer.append(part, static_cast<std::size_t>(got));
  }
  const std::string text = buffer.substr(0, head);
  buffer.erase(0, head + 4);
  std::size_t line_end = std::min(text.find("\r\n"), text.size());
  const std::string first = text.substr(0, line_end);
  const std::size_t space = first.find(' ');
  const std::size_t second = first.find(' ', space + 1);
  const std::string middle = first.substr(space + 1, second - space - 1);
  if (first.rfind("HTTP/", 0) == 0) {
    out.status = std::atoi(middle.c_str());
  } else {
    out.method = first.substr(0, space);
    const std::size_t mark = middle.find('?');
    out.path = middle.substr(0, mark);
    out.query = mark == std::string::npos ? "" : middle.substr(mark + 1);
  }
  while (line_end < text.size()) {
    const std::size_t start = line_end + 2;
    line_end = std::min(text.find("\r\n", start), text.size());
    const std::string line = text.substr(start, line_end - start);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      out.headers[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  const std::size_t length =
      static_cast<std::size_t>(std::atoll(out.headers["content-length"].c_str()));
  while (buffer.size() < length) {
    const ssize_t got = recv(fd, part, sizeof(part), 0);
    if (got <= 0) {
      return false;
    }
    buffer.append(part, static_cast<std::size_t>(got));
  }
  out.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t done =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(done);
  }
  return true;
}

// Answers with status 0 are not sent: the connection closes.
class http_server {
 public:
  using handler = std::function<http_message(const http_message&)>;

  http_server(address at, handler handle)
      : at_(std::move(at)), handle_(std::move(handle)) {}
  ~http_server() { Stop(); }

  bool Start() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in where = SocketAddress(at_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&where),
             sizeof(where)) != 0 ||
        listen(listener_, 256) != 0) {
      close(listener_);
      listener_ = -1;
      return false;
    }
    running_ = true;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  // Closes the port and all connections.
  void Stop() {
    if (!running_.exchange(false)) {
      return;
    }
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    std::set<int> open;
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        if (open_.empty()) {
          return;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

 private:
  void Accept() {
    while (running_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (poll(&waiting, 1, 50) <= 0) {
        continue;
      }
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    std::string buffer;
    http_message request;
    while (running_ && ReadMessage(fd, buffer, request)) {
      const http_message answer = handle_(request);
      if (answer.status == 0 || !running_) {
        break;
      }
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                           " -\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(answer.body.size()) + "\r\n\r\n" +
                           answer.body)) {
        break;
      }
      request = http_message();
    }
    close(fd);
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
  }

  const address at_;
  const handler handle_;
  int listener_ = -1;
  std::atomic<bool> running_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> open_;
};

// One call on a connection of its own; status 0 if there is no answer in time.
inline http_message Call(const address& to,
                         const std::string& method,
                         const std::string& target,
                         const std::string& body,
                         int timeout_ms,
                         const std::string& host = "",
                         const std::string& more_headers = "") {
  http_message answer;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in where = SocketAddress(to);
  std::string buffer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) !=
          0 ||
      !SendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: " +
                       (host.empty() ? to.Text() : host) +
                       "\r\nContent-Type: application/json\r\n" + more_headers +
                       "Content-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body) ||
      !ReadMessage(fd, buffer, answer)) {
    answer = http_message();
  }
  close(fd);
  return answer;
}

}  // namespace review
