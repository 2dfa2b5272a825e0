// A stand-in for an executor of the platform.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "chervilkeel/http_client.h"
#include "chervilkeel/http_server.h"
#include "judge.h"

namespace chervilkeel::soak {

// What a task does; a job's text for its executors is made of it.
struct task_work {
  millis length = 0;  // 0: until it is stopped.
  int cpu = 0;        // In thousandths of a core.
  std::string ToText() const;
  static task_work FromText(const std::string& text);
};

inline constexpr std::size_t kExecutorsPerRack = 4;

struct executor_options {
  std::size_t number = 0;
  endpoint listen;
  endpoint agent;  // Where it announces itself.
  std::string service;
  std::string data_centre;
  double clock_rate = 1.0;
};

class executor {
 public:
  executor(boost::asio::io_context& context,
           judge& judged,
           executor_options options);

  // Returns false if the port is taken.
  bool Start();

 private:
  struct run_here {
    seen_run* seen = nullptr;
    task_work work;
    millis begun = 0;
    millis stop_at = 0;  // 0: not told to stop.
  };

  struct listed_end {
    std::uint64_t number = 0;
    seen_run* seen = nullptr;
  };

  struct waiting_hold {
    millis until = 0;
    http_responder respond;
  };

  // The executor's own clock.
  millis Clock() const;
  http_response Answer(unsigned status, boost::json::object body = {}) const;
  http_response Refuse(const char* reason) const;

  void Handle(const http_request& request, const http_responder& respond);
  http_response BeginRun(const boost::json::object& body);
  http_response StopRun(const boost::json::object& body);
  void Hold(const boost::json::object& body, const http_responder& respond);
  http_response Listing() const;
  void ExtendLease(const boost::json::object& body);

  void End(const std::string& task, const char* how);
  void EndRuns();
  void Lapse();
  void AnswerHolds();
  void Announce();
  void Tick();

  boost::asio::io_context& context_;
  judge& judge_;
  const executor_options options_;
  const std::string id_;
  const std::uint64_t born_ = WallNow();
  const millis clock_zero_ = MonotonicNow();
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer announce_timer_;
  std::shared_ptr<http_server> server_;
  std::shared_ptr<http_pool> agent_;
  std::map<std::string, run_here> running_;
  std::deque<listed_end> ended_;
  std::map<std::string, std::uint64_t> highest_;  // Runs, by task.
  std::list<waiting_hold> holds_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  millis lease_end_ = 0;  // By its own clock.
};

}  // namespace chervilkeel::soak
