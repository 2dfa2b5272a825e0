#include "executor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform_words.h"

namespace chervilkeel::soak {

namespace json = boost::json;

namespace {

constexpr millis kTick = 10;
constexpr millis kAnnounceInterval = 1'500;
constexpr millis kAnnounceTimeout = 1'000;
constexpr millis kStopTime = 100;
constexpr millis kLongestLease = 6'000;
constexpr millis kLongestHold = 2'000;
constexpr millis kStartup = 300;  // Of a task that lasts.
constexpr int kCores = 16'000;    // In thousandths.
constexpr int kMemoryMb = 62'500;
constexpr std::size_t kListedEnds = 500;
constexpr std::uint64_t kBodyLimit = 1U << 20U;

millis NumberOr(const json::object& body, const char* key, millis fallback) {
  const json::value* value = body.if_contains(key);
  return value == nullptr ? fallback : value->to_number<millis>();
}

}  // namespace

std::string task_work::ToText() const {
  return std::to_string(length) + " " + std::to_string(cpu);
}

task_work task_work::FromText(const std::string& text) {
  const std::size_t space = std::min(text.find(' '), text.size());
  return {std::stoll("0" + text.substr(0, space)),
          std::stoi("0" + text.substr(std::min(space + 1, text.size())))};
}

executor::executor(boost::asio::io_context& context,
                   judge& judged,
                   executor_options options)
    : context_(context),
      judge_(judged),
      options_(std::move(options)),
      id_("i-" + std::to_string(options_.number + 1)),
      tick_timer_(context),
      announce_timer_(context) {}

bool executor::Start() {
  http_server_options options;
  options.listen = options_.listen;
  server_ = std::make_shared<http_server>(
      context_, options,
      [this](const http_request& request, const http_responder& respond) {
        Handle(request, respond);
      });
  agent_ = std::make_shared<http_pool>(context_, options_.agent, 1);
  if (!server_->Start()) {
    return false;
  }
  Announce();
  Tick();
  return true;
}

millis executor::Clock() const {
  return 1'000 * static_cast<millis>(options_.number + 1) +
         static_cast<millis>(static_cast<double>(MonotonicNow() - clock_zero_) *
                             options_.clock_rate);
}

http_response executor::Answer(unsigned status, json::object body) const {
  body["clock_ms"] = Clock();
  http_response response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

http_response executor::Refuse(const char* reason) const {
  return Answer(409, {{"reason", reason}});
}

void executor::Handle(const http_request& request,
                      const http_responder& respond) {
  const std::string expected = request.Header(kExpectHeader);
  if (!expected.empty() && expected != id_) {
    respond(Answer(421));
    return;
  }
  const json::object body = json::parse(request.body).as_object();
  const auto token = static_cast<std::uint64_t>(NumberOr(body, kTokenWord, 0));
  if (token < token_) {
    respond(Refuse("fence"));
    return;
  }
  token_ = token;
  if (request.path == kHoldPath) {
    Hold(body, respond);
  } else if (request.path == kStartPath) {
    respond(BeginRun(body));
  } else if (request.path == kStopPath) {
    respond(StopRun(body));
  } else {
    respond(Answer(200));  // A pace, which changes nothing here.
  }
}

void executor::ExtendLease(const json::object& body) {
  if (Clock() >= lease_end_) {
    Lapse();
  }
  const millis wished = NumberOr(body, "deadline_ms", 0);
  lease_end_ = std::max(lease_end_, std::min(wished, Clock() + kLongestLease));
}

http_response executor::BeginRun(const json::object& body) {
  if (NumberOr(body, "deadline_ms", 0) <= Clock()) {
    return Refuse("late");
  }
  ExtendLease(body);
  seen_run run;
  run.task = std::string(body.at("task").as_string());
  run.run = body.at("run").to_number<std::uint64_t>();
  run.epoch = token_;
  run.executor = options_.number;
  run.data_centre = options_.data_centre;
  const auto found = running_.find(run.task);
  if (found != running_.end() && found->second.seen->run == run.run) {
    return Answer(200);
  }
  std::uint64_t& highest = highest_[run.task];
  if (run.run <= highest || found != running_.end()) {
    return Refuse("old");
  }
  const auto work =
      task_work::FromText(std::string(body.at("spec").as_string()));
  int used = work.cpu;
  for (const auto& [task, entry] : running_) {
    used += entry.work.cpu;
  }
  if (used > kCores) {
    return Refuse("room");
  }
  highest = run.run;
  const std::string task = run.task;
  running_[task] = {&judge_.Started(std::move(run)), work, MonotonicNow(), 0};
  return Answer(200);
}

http_response executor::StopRun(const json::object& body) {
  const std::string task(body.at("task").as_string());
  const auto run = body.at("run").to_number<std::uint64_t>();
  std::uint64_t& highest = highest_[task];
  highest = std::max(highest, run);
  const auto found = running_.find(task);
  if (found != running_.end() && found->second.seen->run == run &&
      found->second.stop_at == 0) {
    found->second.stop_at = MonotonicNow() + kStopTime;
  }
  return Answer(200);
}

void executor::Hold(const json::object& body, const http_responder& respond) {
  ExtendLease(body);
  const auto noted = static_cast<std::uint64_t>(NumberOr(body, kNotedWord, 0));
  while (!ended_.empty() && ended_.front().number <= noted) {
    judge_.Noted(*ended_.front().seen);
    ended_.pop_front();
  }
  const millis wait = std::min(NumberOr(body, "wait_ms", 0), kLongestHold);
  if (ended_.empty() && wait > 0) {
    holds_.push_back({MonotonicNow() + wait, respond});
  } else {
    respond(Listing());
  }
}

http_response executor::Listing() const {
  json::array running;
  for (const auto& [task, entry] : running_) {
    const millis worked = MonotonicNow() - entry.begun;
    const millis percent =
        entry.work.length == 0
            ? (worked >= kStartup ? 100 : 50)
            : std::min<millis>(99, 100 * worked / entry.work.length);
    running.push_back(json::array{task, entry.seen->run, "", percent, 0});
  }
  json::array ended;
  for (const listed_end& entry : ended_) {
    if (ended.size() == kListedEnds) {
      break;
    }
    ended.push_back(json::array{entry.number, entry.seen->task, entry.seen->run,
                                entry.seen->how, ""});
  }
  return Answer(200, {{"born", born_},
                      {"running", std::move(running)},
                      {"ended", std::move(ended)}});
}

void executor::End(const std::string& task, const char* how) {
  const auto found = running_.find(task);
  judge_.Ended(*found->second.seen, how);
  ended_.push_back({++last_end_, found->second.seen});
  running_.erase(found);
}

void executor::EndRuns() {
  const millis now = MonotonicNow();
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, entry] : running_) {
    const millis length = entry.work.length;
    if (entry.stop_at != 0) {
      if (now >= entry.stop_at) {
        ends.emplace_back(task, "stopped");
      }
    } else if (length != 0 && now - entry.begun >= length) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) {
    End(task, how);
  }
}

// Ends that are listed now are not taken note of in time any more.
void executor::Lapse() {
  for (const listed_end& entry : ended_) {
    entry.seen->lapsed = true;
  }
  while (!running_.empty()) {
    End(running_.begin()->first, "lapsed");
  }
}

void executor::AnswerHolds() {
  std::list<waiting_hold> answered;
  for (auto next = holds_.begin(); next != holds_.end();) {
    const auto entry = next++;
    if (!ended_.empty() || MonotonicNow() >= entry->until) {
      answered.splice(answered.end(), holds_, entry);
    }
  }
  for (const waiting_hold& entry : answered) {
    entry.respond(Listing());
  }
}

void executor::Announce() {
  http_call call;
  call.method = "PUT";
  call.target = kAnnouncePath + id_;
  call.body = json::serialize(json::object{
      {"service", options_.service},
      {"address", options_.listen.ToString()},
      {"zone", options_.data_centre},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {kColdWord, 0},
      {"capacity",
       json::object{{"cpu", kCores}, {"mem_mb", kMemoryMb}, {"gpu", 0}}},
      {"labels", json::array{options_.data_centre,
                             "r1-" + std::to_string(options_.number /
                                                    kExecutorsPerRack)}},
      {"born", born_},
      {"clock_ms", Clock()},
      {"sequence", ++sequence_}});
  agent_->Call(call, kAnnounceTimeout, kBodyLimit,
               [](const result<http_response>&) {});
  announce_timer_.expires_after(std::chrono::milliseconds(kAnnounceInterval));
  announce_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Announce();
    }
  });
}

void executor::Tick() {
  if (Clock() >= lease_end_) {
    Lapse();
  }
  EndRuns();
  AnswerHolds();
  tick_timer_.expires_after(std::chrono::milliseconds(kTick));
  tick_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Tick();
    }
  });
}

}  // namespace chervilkeel::soak
