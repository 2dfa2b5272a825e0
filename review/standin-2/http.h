// A minimal HTTP/1.1 server and client over blocking sockets, for stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Message {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  int status = 0;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Path() const { return target.substr(0, target.find('?')); }
  std::string Query(const std::string& key) const {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string pair =
          target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (pair.rfind(key + "=", 0) == 0) {
        return pair.substr(key.size() + 1);
      }
      at = end;
    }
    return "";
  }
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
  return out;
}

// Reads from a socket until `until` (ms, steady clock); false if it can't.
inline bool Fill(int fd, std::string& buffer, std::int64_t until) {
  const std::int64_t left = until - NowMs();
  pollfd wait{fd, POLLIN, 0};
  if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[65536];
  const ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
  if (got <= 0) {
    return false;
  }
  buffer.append(bytes, static_cast<std::size_t>(got));
  return true;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t done =
        ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(done);
  }
  return true;
}

inline std::optional<Message> ReadMessage(int fd,
                                          std::string& buffer,
                                          std::int64_t until) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(fd, buffer, until)) {
      return std::nullopt;
    }
  }
  Message message;
  std::size_t at = buffer.find("\r\n");
  const std::string first = buffer.substr(0, at);
  const std::size_t space = first.find(' ');
  const std::size_t second = first.find(' ', space + 1);
  if (first.rfind("HTTP/", 0) == 0) {
    message.status = std::atoi(first.c_str() + space + 1);
  } else {
    message.method = first.substr(0, space);
    message.target = first.substr(space + 1, second - space - 1);
  }
  while (at < end) {
    const std::size_t next = buffer.find("\r\n", at + 2);
    std::string line = buffer.substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(letter));
      }
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      message.headers[name] = line.substr(value);
    }
    at = next;
  }
  const std::size_t length = static_cast<std::size_t>(
      std::atoll(message.Header("content-length").c_str()));
  while (buffer.size() < end + 4 + length) {
    if (!Fill(fd, buffer, until)) {
      return std::nullopt;
    }
  }
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return message;
}

struct Reply {
  int status = 200;
  std::string body = "{}";
  bool is_silent = false;  // No answer, and nothing more on this channel.
};

// Serves each connection on a thread of its own. Close() ends the listener and
// all connections at once, as a crash does.
class Server {
 public:
  using Handler = std::function<Reply(const Message&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  ~Server() { Close(); }

  bool Listen(const Address& at) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = ToSockaddr(at);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&name),
               sizeof name) != 0 ||
        ::listen(listener_, 256) != 0) {
      ::close(listener_);
      listener_ = -1;
      return false;
    }
    open_ = true;
    acceptor_ = std::thread([this] { Accept(); });
    return true;
  }

  void Close() {
    if (!open_.exchange(false)) {
      return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : connections_) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    while (true) {
      const std::lock_guard lock(mutex_);
      if (threads_ == 0) {
        break;
      }
      mutex_.unlock();
      SleepMs(2);
      mutex_.lock();
    }
  }

 private:
  void Accept() {
    while (open_) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!open_) {
          return;
        }
        SleepMs(1);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      connections_.insert(fd);
      ++threads_;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer;
    while (open_) {
      const auto message = ReadMessage(fd, buffer, NowMs() + 600'000);
      if (!message || !open_) {
        break;
      }
      const Reply reply = handler_(*message);
      if (!open_) {
        break;
      }
      if (reply.is_silent) {
        std::string rest;
        while (open_ && Fill(fd, rest, NowMs() + 600'000)) {
        }
        break;
      }
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(reply.status) +
                           " Status\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(reply.body.size()) + "\r\n\r\n" +
                           reply.body)) {
        break;
      }
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(fd);
    ::close(fd);
    --threads_;
  }

  const Handler handler_;
  std::atomic<bool> open_ = false;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<int> connections_;
  int threads_ = 0;
};

// Makes one call on a connection of its own. Status 0: no answer.
inline Message Call(const Address& to,
                    const std::string& method,
                    const std::string& target,
                    const std::string& headers,
                    const std::string& body,
                    std::int64_t timeout) {
  const std::int64_t until = NowMs() + timeout;
  Message none;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSockaddr(to);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof name) !=
      0) {
    ::close(fd);
    return none;
  }
  const bool sent =
      SendAll(fd, method + " " + target + " HTTP/1.1\r\n" + headers +
                      "Content-Type: application/json\r\nConnection: close\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  std::string buffer;
  const auto answer = sent ? ReadMessage(fd, buffer, until) : std::nullopt;
  ::close(fd);
  return answer ? *answer : none;
}

}  // namespace review
