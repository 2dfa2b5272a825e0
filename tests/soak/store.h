// A stand-in for the platform's store.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/http_server.h"
#include "links.h"

namespace chervilkeel::soak {

// Each process calls it at an address of its own, so that calls can be held by
// the process's link. A held call takes effect when the link opens.
class store {
 public:
  store(boost::asio::io_context& context, links& between, place self);

  // Listens for one process; returns false if the port is taken.
  bool Listen(place process, const endpoint& at);

  // As the operator writes.
  void Put(const std::string& key, const std::string& text);

  // As the operator removes.
  void Delete(const std::string& key);

  // Empty if there is none.
  std::string Value(const std::string& key) const;

  // Calls of these processes are answered with 503.
  void Refuse(std::set<place> processes) { refused_ = std::move(processes); }
  const std::set<place>& Refused() const { return refused_; }

 private:
  struct item {
    std::string value;  // As base64 text.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };

  struct event {
    std::string key;
    item value;
    bool is_removal = false;
    millis at = 0;
  };

  struct lease {
    millis length = 0;
    millis end = 0;
  };

  struct watch {
    std::string prefix;
    std::uint64_t after = 0;
    millis until = 0;
    http_responder respond;
  };

  static boost::json::object Encode(const std::string& key, const item& value);

  void Handle(const http_request& request, const http_responder& respond);
  http_response Range(const http_request& request) const;
  http_response Change(const boost::json::object& body);
  http_response MakeLease(const boost::json::object& body);
  http_response Keep(std::uint64_t id);

  // Writes or removes a key at a revision.
  void Write(const std::string& key, item value, std::uint64_t revision);
  void Remove(const std::string& key, std::uint64_t revision);
  void AddEvent(event made);
  void EndLease(std::uint64_t id);

  // Returns whether the watch was answered.
  bool AnswerWatch(const watch& waiting);
  void AnswerWatches();
  void Tick();

  boost::asio::io_context& context_;
  links& links_;
  const place self_;
  boost::asio::steady_timer timer_;
  std::vector<std::shared_ptr<http_server>> servers_;
  std::set<place> refused_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<event> history_;
  std::uint64_t discarded_ = 0;  // The last revision that history lacks.
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::list<watch> watches_;
};

}  // namespace chervilkeel::soak
