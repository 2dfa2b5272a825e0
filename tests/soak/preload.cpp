// Loaded into each daemon before the C library: leads its connections to the
// entries' port over the relay, and binds them to the process's own address, by
// which the relay tells processes apart. SOAK_LINK holds that address, the
// entries' port and the relay's.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

using connect_function = int (*)(int, const sockaddr*, socklen_t);

struct link_settings {
  in_addr source{};
  unsigned entries_port = 0;
  unsigned relay_port = 0;
};

link_settings ReadSettings() {
  link_settings settings;
  char source[64] = "";
  const char* text = std::getenv("SOAK_LINK");
  if (text != nullptr &&
      std::sscanf(text, "%63s %u %u", source, &settings.entries_port,
                  &settings.relay_port) == 3) {
    inet_pton(AF_INET, source, &settings.source);
  }
  return settings;
}

const link_settings& Settings() {
  static link_settings settings = ReadSettings();
  return settings;
}

// A connection that can't be bound has no known end, so the relay closes it.
void Bind(int fd, const sockaddr* here, socklen_t size) {
  if (bind(fd, here, size) != 0) {
    std::perror("soak_preload: bind");
  }
}

}  // namespace

extern "C" int connect(int fd, const sockaddr* to, socklen_t size) {
  static auto* next =
      reinterpret_cast<connect_function>(dlsym(RTLD_NEXT, "connect"));
  const link_settings& settings = Settings();
  const auto port = htons(static_cast<std::uint16_t>(settings.entries_port));
  const auto relay = htons(static_cast<std::uint16_t>(settings.relay_port));
  if (to->sa_family == AF_INET && size >= sizeof(sockaddr_in)) {
    sockaddr_in there{};
    std::memcpy(&there, to, sizeof(there));
    if (there.sin_port == port) {
      there.sin_port = relay;
      sockaddr_in here{};
      here.sin_family = AF_INET;
      here.sin_addr = settings.source;
      Bind(fd, reinterpret_cast<const sockaddr*>(&here), sizeof(here));
      return next(fd, reinterpret_cast<const sockaddr*>(&there), sizeof(there));
    }
  }
  if (to->sa_family == AF_INET6 && size >= sizeof(sockaddr_in6)) {
    sockaddr_in6 there{};
    std::memcpy(&there, to, sizeof(there));
    if (there.sin6_port == port && IN6_IS_ADDR_V4MAPPED(&there.sin6_addr)) {
      there.sin6_port = relay;
      sockaddr_in6 here = there;
      here.sin6_port = 0;
      std::memcpy(here.sin6_addr.s6_addr + 12, &settings.source, 4);
      Bind(fd, reinterpret_cast<const sockaddr*>(&here), sizeof(here));
      return next(fd, reinterpret_cast<const sockaddr*>(&there), sizeof(there));
    }
  }
  return next(fd, to, size);
}
