#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <random>

#include "chervilkeeld/job_keys.h"
#include "load.h"
#include "platform_words.h"

namespace chervilkeel::soak {

namespace {

constexpr const char* kService = "cutting";

constexpr const char* kEntryProcessors = "0.25";
constexpr millis kLongestLease = 6'000;
constexpr int kPorts = 8;
constexpr int kPortTries = 50;
constexpr double kSlowestClock = 0.98;

bool IsFree(const endpoint& at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(at.port);
  inet_pton(AF_INET, at.address.c_str(), &where.sin_addr);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0;
  close(fd);
  return is_free;
}

}  // namespace

fleet::fleet(boost::asio::io_context& context,
             record& log,
             judge& judged,
             fleet_options options)
    : log_(log),
      options_(std::move(options)),
      context_(context),
      store_(context, links_, StorePlace()),
      processes_(StorePlace(), 0),
      judge_(judged) {}

fleet::~fleet() {
  Stop(0);
}

bool fleet::Start() {
  if (!FindPorts()) {
    log_.Say("no free ports");
    return false;
  }
  store_.Put(kConfigKey, MakeConfig(kService));
  std::mt19937_64 random(options_.seed);
  std::uniform_real_distribution<double> rate(kSlowestClock, 1.0);
  for (place i = 0; i < StorePlace(); ++i) {
    if (!store_.Listen(i, At(i, port::kStore))) {
      return false;
    }
    WriteSettings(i);
  }
  for (place i = 0; i < options_.entries; ++i) {
    relays_.push_back(std::make_shared<relay>(
        context_, links_, i, At(i, port::kRpc),
        [this](const std::string& ip) { return FindPlace(ip); }));
    if (!relays_.back()->Start(At(i, port::kRelay))) {
      return false;
    }
  }
  for (place i = options_.entries; i < StorePlace(); ++i) {
    executors_.push_back(std::make_unique<executor>(
        context_, judge_,
        executor_options{i - options_.entries, At(i, port::kExecutor),
                         At(i, port::kAnnounce), kService,
                         DataCentre(i - options_.entries), rate(random)}));
    if (!executors_.back()->Start()) {
      return false;
    }
  }
  for (place i = 0; i < StorePlace(); ++i) {
    Launch(i);
  }
  return true;
}

bool fleet::FindPorts() {
  for (int i = 0; i < kPortTries; ++i) {
    net_ = "127." + std::to_string(64 + (getpid() + i) % 128);
    first_port_ = 20'000 + (getpid() * 37 + i * 211) % 10'000;
    bool is_free = true;
    for (place process = 0; process < StorePlace(); ++process) {
      for (int kind = 0; kind < kPorts; ++kind) {
        is_free = is_free && IsFree(At(process, static_cast<port>(kind)));
      }
    }
    if (is_free) {
      return true;
    }
  }
  return false;
}

std::string fleet::Ip(place process) const {
  return net_ + ".1." + std::to_string(process + 1);
}

endpoint fleet::At(place process, port kind) const {
  return {Ip(process),
          static_cast<std::uint16_t>(first_port_ + static_cast<int>(kind))};
}

std::optional<place> fleet::FindPlace(const std::string& ip) const {
  for (place i = 0; i < StorePlace(); ++i) {
    if (Ip(i) == ip) {
      return i;
    }
  }
  return std::nullopt;
}

std::string fleet::NameOf(place process) const {
  return process < options_.entries
             ? "entry-" + std::to_string(process + 1)
             : "agent-" + std::to_string(process - options_.entries + 1);
}

std::string fleet::File(place process, const char* suffix) const {
  return options_.folder + "/" + NameOf(process) + suffix;
}

std::vector<endpoint> fleet::Fronts() const {
  std::vector<endpoint> fronts;
  for (place i = 0; i < options_.entries; ++i) {
    fronts.push_back(At(i, port::kFront));
  }
  return fronts;
}

// The settings are those that the templates in platform/ give.
void fleet::WriteSettings(place process) const {
  const bool is_entry = process < options_.entries;
  std::string seeds;
  for (place i = 0; i < options_.entries; ++i) {
    seeds += (i == 0 ? "" : ",") + At(i, port::kRpc).ToString();
  }
  std::ofstream file(File(process, ".ini"));
  file << "[process]\nrole = " << (is_entry ? "job_entry" : "job_agent")
       << "\nname = " << NameOf(process) << "\naddress = " << Ip(process)
       << "\nrpc_port = " << At(process, port::kRpc).port
       << "\nhttp_port = " << At(process, port::kHttp).port
       << "\ndata_centre = "
       << (is_entry ? kDataCentres[0] : DataCentre(process - options_.entries))
       << "\n";
  if (is_entry) {
    file << "processors = " << kEntryProcessors << "\n";
  }
  file << "\n[store]\nendpoint = " << At(process, port::kStore).ToString()
       << "\n\n[jobs]\nadapter = platform\n";
  if (is_entry) {
    file << "front = " << At(process, port::kFront).ToString()
         << "\nreadiness = " << At(process, port::kReady).ToString()
         << "\nevacuation_ms = " << kEvacuationBound << "\n";
  } else {
    file << "announcements = " << At(process, port::kAnnounce).ToString()
         << "\nexecutor = " << At(process, port::kExecutor).ToString() << "\n";
  }
  file << "seeds = " << seeds << "\nlongest_lease_ms = " << kLongestLease
       << "\n";
  if (is_entry) {
    file << options_.more_settings;
  }
}

void fleet::Launch(place process) {
  const std::string settings = File(process, ".ini");
  const std::string output = File(process, ".log");
  const std::string link = Ip(process) + " " +
                           std::to_string(At(process, port::kRpc).port) + " " +
                           std::to_string(At(process, port::kRelay).port);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);  // The soak has ended before the line above.
    }
    const int fd = open(output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    if (options_.descriptors > 0 && process < options_.entries) {
      const rlimit limit{options_.descriptors, options_.descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    setenv("SOAK_LINK", link.c_str(), 1);
    setenv("LD_PRELOAD", SOAK_PRELOAD, 1);
    execl(options_.daemon.c_str(), "chervilkeeld", "--config", settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  processes_[process] = child;
  log_.Line("launched " + NameOf(process) + ", process " +
            std::to_string(child));
}

bool fleet::IsWhole() {
  for (place i = 0; i < StorePlace(); ++i) {
    if (processes_[i] > 0 && waitpid(processes_[i], nullptr, WNOHANG) != 0) {
      log_.Say(NameOf(i) + " has ended by itself");
      processes_[i] = 0;
      return false;
    }
  }
  return true;
}

void fleet::Kill(place process) {
  if (processes_[process] > 0) {
    kill(processes_[process], SIGKILL);
    waitpid(processes_[process], nullptr, 0);
    processes_[process] = 0;
    paused_.erase(process);
  }
}

void fleet::Pause(place process) {
  if (processes_[process] > 0) {
    kill(processes_[process], SIGSTOP);
    paused_.insert(process);
  }
}

void fleet::Continue(place process) {
  if (processes_[process] > 0) {
    kill(processes_[process], SIGCONT);
    paused_.erase(process);
  }
}

std::string fleet::DataCentre(std::size_t executor) {
  return kDataCentres[executor / kExecutorsPerRack % std::size(kDataCentres)];
}

void fleet::Evacuate(const std::string& data_centre) {
  store_.Put(kEvacuationPrefix + data_centre, "{}");
  judge_.Evacuated(data_centre);
}

void fleet::EndEvacuation(const std::string& data_centre) {
  judge_.EvacuationEnded(data_centre);
  store_.Delete(kEvacuationPrefix + data_centre);
}

bool fleet::IsStoreSilent() const {
  return links_.IsCutOff(StorePlace()) ||
         store_.Refused().size() == options_.entries;
}

void fleet::WatchFaults() {
  const millis former = std::exchange(watched_, MonotonicNow());
  if (IsStoreSilent()) {
    judge_.StoreSilent(watched_ - former);
  }
  for (place i = options_.entries; i < StorePlace(); ++i) {
    if (processes_[i] == 0 || paused_.contains(i) || links_.IsCutOff(i)) {
      judge_.Disturbed(i - options_.entries);
    }
  }
}

void fleet::Stop(millis grace) {
  for (const pid_t process : processes_) {
    if (process > 0) {
      kill(process, SIGCONT);
      kill(process, SIGTERM);
    }
  }
  const millis until = MonotonicNow() + grace;
  while (MonotonicNow() < until) {
    for (pid_t& process : processes_) {
      if (process > 0 && waitpid(process, nullptr, WNOHANG) == process) {
        process = 0;
      }
    }
    context_.run_for(std::chrono::milliseconds(20));
  }
  for (place i = 0; i < processes_.size(); ++i) {
    Kill(i);
  }
}

std::optional<place> fleet::Owner() const {
  const std::string text = store_.Value(kOwnerKey);
  return FindPlace(text.substr(0, text.find_first_of(" :")));
}

}  // namespace chervilkeel::soak
