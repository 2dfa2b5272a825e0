// Starts an entry and an agent of the daemon with stand-ins for the platform,
// lets a crowd of one form call the entry, and checks that both processes live,
// that the entry's memory and open descriptors stay under a bound, and that an
// ordinary job is accepted and answered while the crowd is still connected. No
// time and no share of the crowd is judged.
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <CLI/CLI.hpp>

#include "chervilkeel/http_client.h"
#include "crowd.h"
#include "executor.h"
#include "fleet.h"

namespace chervilkeel::admission {

namespace {

// The page's target of an entry's peak.
constexpr std::size_t kMostResidentKb = 160'000;
// Those of the smallest entry VM, and what the store, peers and agents need.
constexpr std::size_t kDescriptors = 4'100;
constexpr std::size_t kReservedDescriptors = 64;
constexpr millis kStartTime = 20'000;
constexpr millis kCrowdTime = 25'000;
constexpr millis kStillTime = 2'500;  // Nothing more can be sent.
constexpr millis kAnswerTime = 30'000;
constexpr millis kCallTimeout = 3'000;
constexpr millis kPause = 50;
constexpr const char* kHost = "jobs.example";
constexpr const char* kMemorySetting = "[process] memory_mb";

// Returns the number of a line of /proc/PID/status.
std::size_t StatusNumber(pid_t process, const std::string& key) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(key + ":", 0) == 0) {
      return std::stoul(line.substr(key.size() + 1));
    }
  }
  return 0;
}

std::size_t OpenDescriptors(pid_t process) {
  std::error_code failure;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator
           entry("/proc/" + std::to_string(process) + "/fd", failure),
       end;
       !failure && entry != end; entry.increment(failure)) {
    ++count;
  }
  return count;
}

// The memory of the VM, for a daemon that has a setting for it: the test also
// runs on a daemon that has none.
std::string VmSettings(const std::string& daemon) {
  std::FILE* list = popen((daemon + " --list-settings").c_str(), "r");
  std::string text;
  char buffer[4'096];
  while (list != nullptr && std::fgets(buffer, sizeof(buffer), list)) {
    text += buffer;
  }
  if (list != nullptr) {
    pclose(list);
  }
  return text.find(kMemorySetting) == std::string::npos
             ? ""
             : "\n[process]\nmemory_mb = 160\n";
}

class trial {
 public:
  trial(soak::record& log, soak::fleet_options options, const crowd_form& form)
      : form_(form),
        most_descriptors_(options.descriptors - kReservedDescriptors),
        judge_(log),
        fleet_(context_, log, judge_, std::move(options)) {}

  bool Run(const call_place_name& place) {
    if (!fleet_.Start()) {
      return Check(false, "the processes start");
    }
    front_ = std::make_shared<http_pool>(context_, fleet_.Front(0), 1);
    if (!Check(IsJobAnswered("50ac40wd01", kStartTime),
               "an ordinary job is answered before the crowd")) {
      return false;
    }
    crowd clients(context_,
                  place.place == call_place::kReadiness ? fleet_.Readiness(0)
                                                        : fleet_.Front(0),
                  form_, place.target);
    millis last_change = MonotonicNow();
    const millis until = last_change + kCrowdTime;
    std::size_t sent = 0;
    while (MonotonicNow() < until &&
           MonotonicNow() < last_change + kStillTime) {
      Step();
      if (clients.Sent() != sent) {
        sent = clients.Sent();
        last_change = MonotonicNow();
      }
    }
    std::printf("crowd: %zu of %zu connections open, %zu bytes sent\n",
                clients.Open(), form_.clients, sent);
    const bool is_kept = !form_.is_legal || clients.Open() == form_.clients;
    front_ = std::make_shared<http_pool>(context_, fleet_.Front(0), 1);
    const bool is_answered = IsJobAnswered("50ac40wd02", kAnswerTime);
    const bool lives = fleet_.IsWhole();
    std::printf("entry: peak %zu kB, most descriptors %zu\n", peak_kb_,
                descriptors_);
    bool holds = Check(lives, "both processes live");
    holds = Check(is_kept, "clients within the limits stay connected") && holds;
    holds = Check(peak_kb_ > 0 && peak_kb_ < kMostResidentKb,
                  "memory stays under 160 MB") &&
            holds;
    holds = Check(descriptors_ <= most_descriptors_,
                  "descriptors are left for the store, peers and agents") &&
            holds;
    return Check(is_answered, "an ordinary job is answered beside the crowd") &&
           holds;
  }

  void Stop() { fleet_.Stop(0); }

 private:
  static bool Check(bool holds, const char* what) {
    std::printf("%s: %s\n", holds ? "held" : "BROKEN", what);
    return holds;
  }

  void Step() {
    context_.run_for(std::chrono::milliseconds(kPause));
    const pid_t entry = fleet_.ProcessOf(0);
    peak_kb_ = std::max(peak_kb_, StatusNumber(entry, "VmHWM"));
    descriptors_ = std::max(descriptors_, OpenDescriptors(entry));
  }

  // Calls until the answer is a success; a refusal may be repeated.
  bool CallUntil(const http_call& call, millis until) {
    while (MonotonicNow() < until) {
      unsigned status = 0;
      bool is_over = false;
      front_->Call(call, kCallTimeout, 1U << 20U,
                   [&](const result<http_response>& response) {
                     status = response ? response.value().status : 0;
                     is_over = true;
                   });
      while (!is_over) {
        Step();
      }
      if (status / 100 == 2) {
        return true;
      }
      Step();
    }
    return false;
  }

  bool IsJobAnswered(const std::string& id, millis limit) {
    const millis until = MonotonicNow() + limit;
    http_call call;
    call.target = "/one/" + id;
    call.headers = {{"Host", kHost}};
    call.body = R"({"spec":")" + soak::task_work{100, 1'000}.ToText() +
                R"(","steps":[{"count":1,"cpu":1000,"mem_mb":64}]})";
    if (!CallUntil(call, until)) {
      return false;
    }
    call.method = "GET";
    call.body.clear();
    return CallUntil(call, until);
  }

  const crowd_form& form_;
  const std::size_t most_descriptors_;
  boost::asio::io_context context_{1};
  soak::judge judge_;
  soak::fleet fleet_;
  std::shared_ptr<http_pool> front_;
  std::size_t peak_kb_ = 0;
  std::size_t descriptors_ = 0;
};

}  // namespace

}  // namespace chervilkeel::admission

int main(int argc, char** argv) {
  using namespace chervilkeel;
  CLI::App app("admission, an entry of the daemon beside a crowd of clients.");
  soak::fleet_options options;
  std::string form_name;
  std::string place_name;
  app.add_option("--daemon", options.daemon, "The daemon's program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--folder", options.folder, "Gets the record and the logs")
      ->required();
  app.add_option("--form", form_name, "Of the clients")->required();
  app.add_option("--place", place_name, "route, no_route or readiness")
      ->required();
  CLI11_PARSE(app, argc, argv);
  const admission::crowd_form* form = admission::FindForm(form_name);
  const admission::call_place_name* place = nullptr;
  for (const auto& each : admission::kCallPlaces) {
    place = place_name == each.name ? &each : place;
  }
  std::error_code failure;
  std::filesystem::remove_all(options.folder, failure);
  std::filesystem::create_directories(options.folder, failure);
  soak::record log;
  if (form == nullptr || place == nullptr ||
      !log.Open(options.folder + "/record.txt")) {
    std::fprintf(stderr,
                 "admission: no such form or place, or the folder can't be "
                 "used\n");
    return 2;
  }
  options.entries = 1;
  options.agents = 1;
  options.descriptors =
      form->descriptors > 0 ? form->descriptors : admission::kDescriptors;
  options.more_settings = admission::VmSettings(options.daemon);
  // Not taken apart: calls that are held still know its parts.
  auto* run = new admission::trial(log, options, *form);
  const bool holds = run->Run(*place);
  run->Stop();
  std::fflush(nullptr);
  std::_Exit(holds ? 0 : 1);
}
