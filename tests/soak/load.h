// Clients that hand in jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "chervilkeel/http_client.h"
#include "judge.h"

namespace chervilkeel::soak {

// The operator's configuration: one queue, served by all executors.
std::string MakeConfig(const std::string& service);

struct load_options {
  std::uint64_t seed = 0;
  double jobs_per_s = 4;
  int lasting_jobs = 2;
  std::vector<endpoint> entries;
};

// Hands jobs in at a steady rate; each is tried again, at any entry, until it
// is accepted or refused, and then asked for until it is completed.
class load {
 public:
  load(boost::asio::io_context& context, record& log, load_options options);
  void Start();
  // Hands in no more.
  void Stop() { stopped_ = true; }
  std::string Summary() const;

 private:
  struct job {
    std::string id;
    std::string body;
    int tries = 0;
  };

  http_call MakeCall(const char* method, const std::string& id) const;
  const std::shared_ptr<http_pool>& AnyEntry();
  void Next();
  void Submit(const std::shared_ptr<job>& made);
  void Ask(const std::shared_ptr<job>& made);
  void After(millis delay, std::function<void()> step);
  std::string MakeSteps();
  std::string MakeLastingStep();

  boost::asio::io_context& context_;
  record& log_;
  const load_options options_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<http_pool>> entries_;
  std::uint64_t handed_in_ = 0;
  std::uint64_t accepted_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t failed_ = 0;
  bool stopped_ = false;
};

}  // namespace chervilkeel::soak
