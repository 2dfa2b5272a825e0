// A stand-in for the platform's key-value store: compare-and-swap, leases,
// watches, the 1 MB limit, counted calls, and switches for faults. In memory.
//
// Calls are POST with JSON to /v1/...; POST /control/fault sets a fault, and
// GET /control/counts returns the calls counted so far.
#include <chrono>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/log.h"
#include "standin_server.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kValueLimit = 1'000'000;  // Bytes.
constexpr millis kHungCall = 30'000;            // How long a lost call hangs.

enum class fault_mode { kUp, kDown, kSlow, kLoseAnswers };

struct fault_name {
  fault_mode mode;
  const char* name;
};

constexpr fault_name kFaultNames[] = {
    {fault_mode::kUp, "up"},
    {fault_mode::kDown, "down"},
    {fault_mode::kSlow, "slow"},
    {fault_mode::kLoseAnswers, "lose_answers"},
};

struct stored_value {
  std::string value;
  std::uint64_t version = 0;
  std::uint64_t lease = 0;
};

struct stored_lease {
  millis duration = 0;
  millis ends_at = 0;
  std::set<std::string> keys;
};

struct watcher {
  std::string key;
  std::uint64_t known_version = 0;
  millis until = 0;
  http_responder respond;
};

struct call_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
};

// The store itself. Runs on one thread.
class store_standin {
 public:
  explicit store_standin(asio::io_context& context)
      : context_(context), timer_(context) {
    Sweep();
  }

  void Handle(const http_request& request, const http_responder& respond) {
    if (request.path.rfind("/control/", 0) == 0) {
      Control(request, respond);
      return;
    }
    counts_.bytes_in += request.body.size();
    const bool cut = cut_off_.count(request.Header("X-Caller")) != 0;
    switch (cut ? fault_mode::kDown : mode_) {
      case fault_mode::kDown:
        respond(ErrorResponse(503, "the store is down"));
        return;
      case fault_mode::kSlow:
        After(slow_ms_, [this, request, respond] { Serve(request, respond); });
        return;
      case fault_mode::kLoseAnswers:
        // The call takes effect and its answer never comes.
        Serve(request, [this, respond](const http_response&) {
          After(kHungCall, [respond] {
            respond(ErrorResponse(504, "the answer was lost"));
          });
        });
        return;
      case fault_mode::kUp:
        Serve(request, respond);
        return;
    }
  }

 private:
  void After(millis delay, const std::function<void()>& action) {
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::milliseconds(delay));
    timer->async_wait([timer, action](auto) { action(); });
  }

  void Control(const http_request& request, const http_responder& respond) {
    if (request.path == "/control/counts") {
      Answer(respond, {{"reads", counts_.reads},
                       {"writes", counts_.writes},
                       {"watches", counts_.watches},
                       {"bytes_in", counts_.bytes_in},
                       {"bytes_out", counts_.bytes_out},
                       {"keys", values_.size()}});
      return;
    }
    const json::object body = json::parse(request.body).as_object();
    const std::string mode(body.at("mode").as_string());
    for (const auto& entry : kFaultNames) {
      if (mode == entry.name) {
        mode_ = entry.mode;
      }
    }
    if (const json::value* callers = body.if_contains("cut_off")) {
      cut_off_.clear();
      for (const json::value& caller : callers->as_array()) {
        cut_off_.insert(std::string(caller.as_string()));
      }
    }
    if (const json::value* delay = body.if_contains("slow_ms")) {
      slow_ms_ = delay->to_number<millis>();
    }
    Answer(respond, {{"mode", mode}});
  }

  void Serve(const http_request& request, const http_responder& respond) {
    try {
      const json::object body = json::parse(request.body).as_object();
      Route(request.path, body, respond);
    } catch (const std::exception& failure) {
      respond(ErrorResponse(400, failure.what()));
    }
  }

  void Route(const std::string& path,
             const json::object& body,
             const http_responder& respond) {
    if (path == "/v1/get") {
      Get(body, respond);
    } else if (path == "/v1/list") {
      List(body, respond);
    } else if (path == "/v1/put") {
      Put(body, respond);
    } else if (path == "/v1/delete") {
      Delete(body, respond);
    } else if (path == "/v1/lease/grant") {
      GrantLease(body, respond);
    } else if (path == "/v1/lease/renew") {
      RenewLease(body, respond);
    } else if (path == "/v1/watch") {
      Watch(body, respond);
    } else {
      respond(ErrorResponse(404, "no call " + path));
    }
  }

  void Answer(const http_responder& respond, const json::object& body) {
    http_response response;
    response.body = json::serialize(body);
    counts_.bytes_out += response.body.size();
    respond(std::move(response));
  }

  static std::string Text(const json::object& body, const char* key) {
    return std::string(body.at(key).as_string());
  }

  static std::uint64_t Number(const json::object& body, const char* key) {
    return body.at(key).to_number<std::uint64_t>();
  }

  json::object Entry(const std::string& key) const {
    const auto found = values_.find(key);
    const stored_value entry =
        found == values_.end() ? stored_value() : found->second;
    return {{"key", key}, {"value", entry.value}, {"version", entry.version}};
  }

  std::uint64_t VersionOf(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.version;
  }

  void Get(const json::object& body, const http_responder& respond) {
    ++counts_.reads;
    const std::string key = Text(body, "key");
    if (VersionOf(key) == 0) {
      respond(ErrorResponse(404, "no key " + key));
      return;
    }
    Answer(respond, Entry(key));
  }

  void List(const json::object& body, const http_responder& respond) {
    ++counts_.reads;
    const std::string prefix = Text(body, "prefix");
    json::array entries;
    for (auto found = values_.lower_bound(prefix);
         found != values_.end() && found->first.rfind(prefix, 0) == 0;
         ++found) {
      entries.push_back(Entry(found->first));
    }
    Answer(respond, {{"entries", std::move(entries)}});
  }

  void Put(const json::object& body, const http_responder& respond) {
    ++counts_.writes;
    const std::string key = Text(body, "key");
    const std::string value = Text(body, "value");
    const std::uint64_t lease = Number(body, "lease");
    if (value.size() > kValueLimit) {
      respond(ErrorResponse(413, "the value of " + key + " has " +
                                     std::to_string(value.size()) + " bytes"));
      return;
    }
    if (VersionOf(key) != Number(body, "expected_version")) {
      respond(ErrorResponse(409, "key " + key + " has version " +
                                     std::to_string(VersionOf(key))));
      return;
    }
    if (lease != 0 && leases_.count(lease) == 0) {
      respond(ErrorResponse(404, "no lease " + std::to_string(lease)));
      return;
    }
    if (lease != 0) {
      leases_[lease].keys.insert(key);
    }
    values_[key] = {value, ++revision_, lease};
    Answer(respond, {{"version", revision_}});
    Notify(key);
  }

  void Delete(const json::object& body, const http_responder& respond) {
    ++counts_.writes;
    const std::string key = Text(body, "key");
    if (VersionOf(key) != Number(body, "expected_version")) {
      respond(ErrorResponse(409, "key " + key + " has version " +
                                     std::to_string(VersionOf(key))));
      return;
    }
    values_.erase(key);
    Answer(respond, {});
    Notify(key);
  }

  void GrantLease(const json::object& body, const http_responder& respond) {
    ++counts_.writes;
    stored_lease lease;
    lease.duration = static_cast<millis>(Number(body, "duration_ms"));
    lease.ends_at = MonotonicNow() + lease.duration;
    const std::uint64_t id = ++revision_;
    leases_[id] = lease;
    Answer(respond, {{"lease", id}});
  }

  void RenewLease(const json::object& body, const http_responder& respond) {
    ++counts_.writes;
    const auto lease = leases_.find(Number(body, "lease"));
    if (lease == leases_.end()) {
      respond(ErrorResponse(404, "the lease has lapsed"));
      return;
    }
    lease->second.ends_at = MonotonicNow() + lease->second.duration;
    Answer(respond, {});
  }

  void Watch(const json::object& body, const http_responder& respond) {
    ++counts_.watches;
    watcher waiting;
    waiting.key = Text(body, "key");
    waiting.known_version = Number(body, "known_version");
    waiting.until =
        MonotonicNow() + static_cast<millis>(Number(body, "timeout_ms"));
    waiting.respond = respond;
    if (VersionOf(waiting.key) != waiting.known_version) {
      Answer(respond, Entry(waiting.key));
      return;
    }
    watchers_.push_back(std::move(waiting));
  }

  void Notify(const std::string& key) {
    watchers_.remove_if([&](const watcher& waiting) {
      const bool due = waiting.key == key;
      if (due) {
        Answer(waiting.respond, Entry(key));
      }
      return due;
    });
  }

  // Ends leases and watches whose time has come.
  void Sweep() {
    constexpr millis kSweepInterval = 50;
    const millis now = MonotonicNow();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (now < lease->second.ends_at) {
        ++lease;
        continue;
      }
      const auto id = lease->first;
      for (const std::string& key : lease->second.keys) {
        const auto value = values_.find(key);
        if (value != values_.end() && value->second.lease == id) {
          values_.erase(value);
          Notify(key);
        }
      }
      lease = leases_.erase(lease);
    }
    watchers_.remove_if([&](const watcher& waiting) {
      const bool over = now >= waiting.until;
      if (over) {
        Answer(waiting.respond, Entry(waiting.key));
      }
      return over;
    });
    timer_.expires_after(std::chrono::milliseconds(kSweepInterval));
    timer_.async_wait([this](auto failure) {
      if (!failure) {
        Sweep();
      }
    });
  }

  asio::io_context& context_;
  asio::steady_timer timer_;
  fault_mode mode_ = fault_mode::kUp;
  millis slow_ms_ = 500;
  std::set<std::string> cut_off_;
  std::uint64_t revision_ = 0;
  std::map<std::string, stored_value> values_;
  std::map<std::uint64_t, stored_lease> leases_;
  std::list<watcher> watchers_;
  call_counts counts_;
};

int Run(const endpoint& listen) {
  constexpr std::uint64_t kBodyLimit = 4U << 20U;
  standin_server server;
  store_standin store(server.Context());
  if (!server.Listen(
          listen, kBodyLimit,
          [&](const http_request& request, const http_responder& respond) {
            store.Handle(request, respond);
          })) {
    return 1;
  }
  server.Run();
  return 0;
}

}  // namespace

}  // namespace chervilkeel

int main(int argc, char** argv) {
  CLI::App app("A stand-in for the platform's key-value store.");
  std::string listen = "127.0.0.1:7000";
  app.add_option("--listen", listen, "IP:PORT to listen on");
  CLI11_PARSE(app, argc, argv);
  chervilkeel::endpoint parsed;
  if (!chervilkeel::ParseEndpoint(listen, parsed)) {
    std::fprintf(stderr, "--listen %s is not IP:PORT\n", listen.c_str());
    return 2;
  }
  chervilkeel::StartLogging("store", "warn");
  return chervilkeel::Run(parsed);
}
