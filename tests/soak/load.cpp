#include "load.h"

#include <utility>

#include "executor.h"
#include "platform_words.h"

namespace chervilkeel::soak {

namespace json = boost::json;

namespace {

constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/one/";
constexpr millis kTimeout = 3'000;
constexpr millis kRetryDelay = 250;
constexpr millis kAskInterval = 1'000;
constexpr std::uint64_t kBodyLimit = 1U << 20U;
constexpr std::size_t kIdleConnections = 64;

}  // namespace

std::string MakeConfig(const std::string& service) {
  return json::serialize(json::object{
      {"version", 7},
      {"routes", json::array{json::object{{"name", "r-one"},
                                          {"host", kHost},
                                          {"prefix", kPrefix},
                                          {"kind", "unsafe"},
                                          {"timeout_ms", kTimeout},
                                          {"latency_target_ms", 1'000},
                                          {"priority", 0},
                                          {"service", service},
                                          {"max_attempts", 3},
                                          {"stretch", 2.0}}}},
      {"services",
       json::array{json::object{{"name", service}, {kRejectsWord, true}}}},
      {"limits", json::object{{"max_body_bytes", 262'144}}}});
}

load::load(boost::asio::io_context& context, record& log, load_options options)
    : context_(context),
      log_(log),
      options_(std::move(options)),
      random_(options_.seed) {
  for (const endpoint& entry : options_.entries) {
    entries_.push_back(
        std::make_shared<http_pool>(context, entry, kIdleConnections));
  }
}

void load::Start() {
  for (int i = 0; i < options_.lasting_jobs; ++i) {
    const auto made = std::make_shared<job>();
    made->body = MakeLastingStep();
    Submit(made);
  }
  Next();
}

std::string load::Summary() const {
  return "jobs " + std::to_string(handed_in_) + ", accepted " +
         std::to_string(accepted_) + ", refused " + std::to_string(refused_) +
         ", completed " + std::to_string(completed_) + ", failed " +
         std::to_string(failed_);
}

void load::After(millis delay, std::function<void()> step) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(delay));
  timer->async_wait([timer, step = std::move(step)](auto failure) {
    if (!failure) {
      step();
    }
  });
}

http_call load::MakeCall(const char* method, const std::string& id) const {
  http_call call;
  call.method = method;
  call.target = kPrefix + id;
  call.headers = {{"Host", kHost}, {kWaitHeader, std::to_string(kTimeout)}};
  return call;
}

const std::shared_ptr<http_pool>& load::AnyEntry() {
  return entries_[random_() % entries_.size()];
}

void load::Next() {
  if (stopped_) {
    return;
  }
  const auto made = std::make_shared<job>();
  made->body = MakeSteps();
  Submit(made);
  After(static_cast<millis>(1'000 / options_.jobs_per_s), [this] { Next(); });
}

std::string load::MakeSteps() {
  const auto pick = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  };
  // All tasks of a job have one text, so they take equally long.
  const task_work work{pick(300, 3'000), 1'000};
  json::array steps;
  const int count = pick(1, 3);
  for (int i = 0; i < count; ++i) {
    json::object step{{"count", pick(2, 16)},
                      {"cpu", work.cpu},
                      {"mem_mb", 512},
                      {kEstimateWord, work.length}};
    if (i > 0) {
      step["after"] = json::array{i - 1};
    }
    steps.push_back(std::move(step));
  }
  return json::serialize(
      json::object{{"spec", work.ToText()}, {"steps", std::move(steps)}});
}

std::string load::MakeLastingStep() {
  const task_work work{0, 1'000};
  json::array steps{json::object{{"count", 6},
                                 {"cpu", work.cpu},
                                 {"mem_mb", 512},
                                 {kEstimateWord, 1'000},
                                 {kLastsWord, true}}};
  return json::serialize(
      json::object{{"spec", work.ToText()}, {"steps", std::move(steps)}});
}

void load::Submit(const std::shared_ptr<job>& made) {
  if (made->tries++ == 0) {
    char id[17];
    std::snprintf(id, sizeof(id), "50a%013llx",
                  static_cast<unsigned long long>(++handed_in_));
    made->id = id;
  }
  http_call call = MakeCall("POST", made->id);
  call.body = made->body;
  AnyEntry()->Call(call, kTimeout, kBodyLimit,
                   [this, made](const result<http_response>& response) {
                     const unsigned status =
                         response ? response.value().status : 0;
                     if (status / 100 == 2) {
                       ++accepted_;
                       After(kAskInterval, [this, made] { Ask(made); });
                     } else if (status == 400 || status == 404) {
                       ++refused_;
                       log_.Line("job " + made->id + " refused with " +
                                 std::to_string(status));
                     } else {
                       After(kRetryDelay, [this, made] { Submit(made); });
                     }
                   });
}

void load::Ask(const std::shared_ptr<job>& made) {
  AnyEntry()->Call(
      MakeCall("GET", made->id), kTimeout, kBodyLimit,
      [this, made](const result<http_response>& response) {
        std::string state;
        if (response && response.value().status == 200) {
          state = std::string(
              json::parse(response.value().body).at("state").as_string());
        }
        if (state == "completed") {
          ++completed_;
          log_.Line("job " + made->id + " completed");
        } else if (state == "failed" || state == "cancelled") {
          ++failed_;
          log_.Line("job " + made->id + " " + state);
        } else {
          After(kAskInterval, [this, made] { Ask(made); });
        }
      });
}

}  // namespace chervilkeel::soak
