// Clients that hold the memory or the descriptors of a process.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/settings.h"

namespace chervilkeel::admission {

// Where the clients of a crowd call.
enum class call_place { kRoute, kNoRoute, kReadiness };

struct call_place_name {
  call_place place;
  const char* name;
  const char* target;
};

inline constexpr call_place_name kCallPlaces[] = {
    {call_place::kRoute, "route", "/one/50ac40wd"},
    {call_place::kNoRoute, "no_route", "/elsewhere/x"},
    {call_place::kReadiness, "readiness", "/x"},
};

// What each client of a crowd does. All send the same bytes.
struct crowd_form {
  const char* name;
  std::size_t clients;
  std::string (*text)(const std::string& target);
  std::size_t slice = 0;        // Bytes sent at once; 0: all.
  millis pause = 0;             // Between two slices.
  std::size_t read_bytes = 0;   // Read each 100 ms; 0: nothing is read.
  std::size_t descriptors = 0;  // The entry's limit; 0: that of the VMs.
  bool is_legal = false;        // Then no client may be closed.
};

// Returns null if there is no such form.
const crowd_form* FindForm(const std::string& name);

// Opens the connections of a form and keeps them open until it is destroyed,
// or the server closes them.
class crowd {
 public:
  crowd(boost::asio::io_context& context,
        const endpoint& server,
        const crowd_form& form,
        const std::string& target);
  ~crowd();
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  // Bytes that the clients have sent, of all, and the connections still open.
  std::size_t Sent() const;
  std::size_t Open() const;

 private:
  class client;

  std::vector<std::shared_ptr<client>> clients_;
};

}  // namespace chervilkeel::admission
