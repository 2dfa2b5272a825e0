// Stand-ins for the platform's store and for executors, as PROTOCOL.md
// describes them, and the processes of the project beside them.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <vector>

#include "http.h"

namespace review {

namespace json = boost::json;

// What was sent, answered and run, with ms since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), began_(NowMs()) {}

  void Say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8lld ms  ", static_cast<long long>(NowMs() - began_));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  const std::int64_t began_;
  std::mutex mutex_;
};

inline std::uint64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

inline std::string String(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

inline std::string Base64(const std::string& text) {
  static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kLetters[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

// The platform's store: items, leases, watches. Nothing is forgotten.
class Store {
 public:
  // Decides whether a write is carried out without an answer, and how many ms
  // later; less than 0: it is served as usual.
  using LateFunction = std::function<std::int64_t(const json::object& body)>;

  explicit Store(Record& record)
      : record_(record),
        server_([this](const Message& message) { return Handle(message); }) {}

  bool Listen(const Address& at) {
    sweeper_ = std::thread([this] {
      while (!ended_) {
        SleepMs(10);
        const std::lock_guard lock(mutex_);
        Sweep();
      }
    });
    return server_.Listen(at);
  }

  void Close() {
    ended_ = true;
    changed_.notify_all();
    sweeper_.join();
    server_.Close();
  }

  void SetLate(LateFunction late) {
    const std::lock_guard lock(mutex_);
    late_ = std::move(late);
  }

  void Put(const std::string& key, const std::string& text) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    Write(key, Base64(text), 0);
    changed_.notify_all();
  }

  bool Has(const std::string& key) {
    const std::lock_guard lock(mutex_);
    return items_.count(key) != 0;
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    std::int64_t ttl = 0;
    std::int64_t ends = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    bool is_tombstone = false;
    Item item;
  };

  static json::object Encode(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  void Write(const std::string& key,
             const std::string& value,
             std::uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    events_.push_back({key, revision_, false, item});
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) != 0) {
      events_.push_back({key, revision_, true, {}});
    }
  }

  void EndLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) {
        keys.push_back(key);
      }
    }
    if (!keys.empty()) {
      ++revision_;
      for (const std::string& key : keys) {
        Remove(key);
      }
      changed_.notify_all();
    }
  }

  void Sweep() {
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_) {
      if (NowMs() >= lease.ends) {
        over.push_back(id);
      }
    }
    for (const std::uint64_t id : over) {
      EndLease(id);
    }
  }

  Reply Transaction(const json::object& body) {
    json::array conflicts;
    bool holds = true;
    const json::array none;
    const auto rows = [&](const char* key) -> const json::array& {
      const json::value* value = body.if_contains(key);
      return value == nullptr ? none : value->as_array();
    };
    for (const json::value& row : rows("if_revision")) {
      const std::string key = String(row.as_object(), "key");
      const auto found = items_.find(key);
      const std::uint64_t present =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && present == Number(row.as_object(), "revision");
      conflicts.push_back(found == items_.end()
                              ? json::object{{"key", key}, {"revision", 0}}
                              : Encode(key, found->second));
    }
    if (!holds) {
      return {412, json::serialize(json::object{
                       {"items", conflicts}, {"store_revision", revision_}})};
    }
    for (const json::value& row : rows("writes")) {
      const std::uint64_t lease = Number(row.as_object(), "lease");
      if (lease != 0 && leases_.count(lease) == 0) {
        return {404, "{}"};
      }
    }
    ++revision_;
    for (const json::value& row : rows("writes")) {
      Write(String(row.as_object(), "key"), String(row.as_object(), "value"),
            Number(row.as_object(), "lease"));
    }
    for (const json::value& key : rows("remove")) {
      Remove(std::string(key.as_string()));
    }
    changed_.notify_all();
    return {200, json::serialize(json::object{{"revision", revision_}})};
  }

  Reply Watch(const Message& message, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = message.Query("prefix");
    std::uint64_t after =
        std::strtoull(message.Query("after").c_str(), nullptr, 10);
    const std::int64_t until =
        NowMs() + std::atoll(message.Query("wait_ms").c_str());
    while (true) {
      json::array events;
      for (const Event& event : events_) {
        if (event.revision <= after || event.key.rfind(prefix, 0) != 0) {
          continue;
        }
        events.push_back(event.is_tombstone
                             ? json::object{{"key", event.key},
                                            {"revision", event.revision},
                                            {"tombstone", true}}
                             : Encode(event.key, event.item));
      }
      if (!events.empty() || NowMs() >= until || ended_) {
        return {200, json::serialize(json::object{
                         {"events", events}, {"store_revision", revision_}})};
      }
      changed_.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(
                                  until - NowMs(), 100)));
    }
  }

  Reply Range(const Message& message) {
    const std::string prefix = message.Query("prefix");
    const std::string after = message.Query("after");
    json::array items;
    bool has_more = false;
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) != 0 || key <= after) {
        continue;
      }
      if (items.size() == 500) {
        has_more = true;
        break;
      }
      items.push_back(Encode(key, item));
    }
    return {200, json::serialize(json::object{{"items", items},
                                              {"has_more", has_more},
                                              {"store_revision", revision_}})};
  }

  Reply Handle(const Message& message) {
    std::unique_lock lock(mutex_);
    Sweep();
    const std::string path = message.Path();
    if (path == "/kv-key") {
      const std::string key = message.Query("key");
      const auto found = items_.find(key);
      json::object answer;
      if (found != items_.end()) {
        answer = Encode(key, found->second);
      }
      answer["store_revision"] = revision_;
      return {found == items_.end() ? 404 : 200, json::serialize(answer)};
    }
    if (path == "/kv-range") {
      return Range(message);
    }
    if (path == "/kv-watch") {
      return Watch(message, lock);
    }
    if (path == "/kv-txn") {
      const json::object body = json::parse(message.body).as_object();
      const std::int64_t late = late_ ? late_(body) : -1;
      if (late < 0) {
        return Transaction(body);
      }
      record_.Say("store: a write gets no answer, and is done %lld ms later",
                  static_cast<long long>(late));
      std::thread([this, body, late] {
        SleepMs(late);
        const std::lock_guard again(mutex_);
        const Reply reply = Transaction(body);
        record_.Say("store: the late write is done, status %d", reply.status);
      }).detach();
      return {0, "", true};
    }
    if (path == "/kv-lease") {
      const json::object body = json::parse(message.body).as_object();
      const auto ttl = std::max<std::int64_t>(
          1000, static_cast<std::int64_t>(Number(body, "ttl_ms")));
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {ttl, NowMs() + ttl};
      return {200,
              json::serialize(json::object{{"lease", id}, {"ttl_ms", ttl}})};
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto found =
          leases_.find(std::strtoull(path.c_str() + 9, nullptr, 10));
      if (found == leases_.end()) {
        return {404, "{}"};
      }
      found->second.ends = NowMs() + found->second.ttl;
      return {200,
              json::serialize(json::object{{"lease", found->first},
                                           {"ttl_ms", found->second.ttl}})};
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      EndLease(std::strtoull(path.c_str() + 14, nullptr, 10));
      return {200, "{}"};
    }
    return {404, "{}"};
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::list<Event> events_;
  LateFunction late_;
  std::uint64_t revision_ = 10;
  std::uint64_t last_lease_ = 0;
  std::atomic<bool> ended_ = false;
  std::thread sweeper_;
  Server server_;
};

// What an executor knows of a task beside its order.
struct Work {
  std::int64_t cpu = 0;
  std::int64_t takes = 0;  // ms
};

struct Start {
  std::string task;
  std::uint64_t run = 0;
  std::string executor;
  std::int64_t at = 0;
};

// All that executors have begun.
class Ledger {
 public:
  void Define(const std::string& step, Work work) {
    const std::lock_guard lock(mutex_);
    works_[step] = work;
  }
  Work WorkOf(const std::string& task) {
    const std::lock_guard lock(mutex_);
    return works_[task.substr(0, task.rfind('.'))];
  }
  void Began(const Start& start) {
    const std::lock_guard lock(mutex_);
    starts_.push_back(start);
  }
  std::vector<Start> StartsOf(const std::string& job) {
    const std::lock_guard lock(mutex_);
    std::vector<Start> found;
    for (const Start& start : starts_) {
      if (start.task.rfind(job + ".", 0) == 0) {
        found.push_back(start);
      }
    }
    return found;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Work> works_;  // By ID.K.STEP.
  std::vector<Start> starts_;
};

// An executor. Crash() takes all that runs and all that it knows; Boot() starts
// it again under another id at the same address.
class Executor {
 public:
  Executor(Record& record,
           Ledger& ledger,
           Address app,
           Address agent,
           std::string name,
           std::string service,
           std::vector<std::string> labels,
           std::int64_t cpu)
      : record_(record),
        ledger_(ledger),
        app_(std::move(app)),
        agent_(std::move(agent)),
        name_(std::move(name)),
        service_(std::move(service)),
        labels_(std::move(labels)),
        cpu_(cpu) {}

  ~Executor() { Crash(); }

  bool Boot() {
    const std::lock_guard guard(life_);
    running_.clear();
    ended_.clear();
    highest_.clear();
    fence_ = 0;
    last_end_ = 0;
    deadline_ = 0;
    sequence_ = 0;
    born_ = WallMs();
    began_ = NowMs() - 1000;
    id_ = name_ + "-" + std::to_string(born_ % 1'000'000);
    server_ = std::make_unique<Server>(
        [this](const Message& message) { return Handle(message); });
    if (!server_->Listen(app_)) {
      record_.Say("executor %s can't listen", name_.c_str());
      return false;
    }
    up_ = true;
    worker_ = std::thread([this] { Work_(); });
    beats_ = std::thread([this] { Beat(); });
    return true;
  }

  void Crash() {
    const std::lock_guard guard(life_);
    if (!up_.exchange(false)) {
      return;
    }
    changed_.notify_all();
    server_->Close();
    worker_.join();
    beats_.join();
  }

  // While busy it rejects all starts with 429, after a while, and has done
  // nothing.
  void SetBusy(bool is_busy) { busy_ = is_busy; }

 private:
  struct Run {
    std::uint64_t number = 0;
    std::int64_t began = 0;
    Work work;
    bool is_stopping = false;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  std::int64_t ClockMs() const { return NowMs() - began_; }

  void Finish(const std::string& task, const std::string& how) {
    const Run run = running_.at(task);
    running_.erase(task);
    ended_.push_back({++last_end_, task, run.number, how});
    highest_[task] = std::max(highest_[task], run.number);
    changed_.notify_all();
  }

  void Work_() {
    while (up_) {
      SleepMs(10);
      const std::lock_guard lock(mutex_);
      std::vector<std::pair<std::string, std::string>> over;
      for (const auto& [task, run] : running_) {
        if (ClockMs() > deadline_) {
          over.emplace_back(task, "lapsed");
        } else if (run.is_stopping) {
          over.emplace_back(task, "stopped");
        } else if (NowMs() - run.began >= run.work.takes) {
          over.emplace_back(task, "done");
        }
      }
      for (const auto& [task, how] : over) {
        Finish(task, how);
      }
    }
  }

  void Beat() {
    std::int64_t next = 0;
    while (up_) {
      SleepMs(10);
      if (NowMs() < next) {
        continue;
      }
      next = NowMs() + 1100;
      const json::object body{
          {"service", service_},
          {"address", app_.Text()},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"capacity",
           json::object{{"cpu", cpu_}, {"mem_mb", 250'000}, {"gpu", 0}}},
          {"labels", json::array(labels_.begin(), labels_.end())},
          {"clock_ms", ClockMs()},
          {"born", born_},
          {"sequence", ++sequence_}};
      Call(agent_, "PUT", "/instances/" + id_,
           "Host: " + agent_.Text() + "\r\n", json::serialize(body), 1000);
    }
  }

  Reply Refuse(const char* reason) const {
    return {409, json::serialize(json::object{{"clock_ms", ClockMs()},
                                              {"reason", reason}})};
  }

  void Extend(const json::object& body) {
    const auto wanted = static_cast<std::int64_t>(Number(body, "deadline_ms"));
    deadline_ = std::max(deadline_, std::min(wanted, ClockMs() + 6000));
  }

  Reply Handle(const Message& message) {
    const std::string expected = message.Header("x-expect-instance");
    std::unique_lock lock(mutex_);
    if (!expected.empty() && expected != id_) {
      return {421, json::serialize(json::object{{"clock_ms", ClockMs()}})};
    }
    const json::object body = json::parse(message.body).as_object();
    const std::uint64_t token = Number(body, "fencing_token");
    if (token < fence_) {
      return Refuse("fence");
    }
    fence_ = token;
    const std::string path = message.Path();
    const std::string task = String(body, "task");
    const std::uint64_t number = Number(body, "run");
    const json::object accepted{{"clock_ms", ClockMs()}};
    if (path == "/run-start" && busy_) {
      lock.unlock();
      SleepMs(200);
      return {429, json::serialize(accepted)};
    }
    if (path == "/run-start") {
      const auto present = running_.find(task);
      if (present != running_.end() && present->second.number == number) {
        Extend(body);
        return {200, json::serialize(accepted)};
      }
      Extend(body);
      if (deadline_ <= ClockMs()) {
        return Refuse("late");
      }
      if (number <= highest_[task] || present != running_.end()) {
        return Refuse("old");
      }
      const Work work = ledger_.WorkOf(task);
      std::int64_t used = 0;
      for (const auto& [other, run] : running_) {
        used += run.work.cpu;
      }
      if (used + work.cpu > cpu_) {
        return Refuse("room");
      }
      running_[task] = {number, NowMs(), work, false};
      ledger_.Began({task, number, name_, NowMs()});
      return {200, json::serialize(accepted)};
    }
    if (path == "/run-stop") {
      highest_[task] = std::max(highest_[task], number);
      const auto present = running_.find(task);
      if (present != running_.end() && present->second.number == number) {
        present->second.is_stopping = true;
      }
      return {200, json::serialize(accepted)};
    }
    if (path == "/hold") {
      Extend(body);
      const std::uint64_t seen = Number(body, "seen_upto");
      std::erase_if(ended_,
                    [seen](const End& end) { return end.number <= seen; });
      const std::int64_t until =
          NowMs() + static_cast<std::int64_t>(Number(body, "wait_ms"));
      while (up_ && ended_.empty() && NowMs() < until) {
        changed_.wait_for(lock,
                          std::chrono::milliseconds(
                              std::min<std::int64_t>(until - NowMs(), 50)));
      }
      json::array running;
      for (const auto& [name, run] : running_) {
        const std::int64_t percent = std::min<std::int64_t>(
            99, (NowMs() - run.began) * 100 /
                    std::max<std::int64_t>(run.work.takes, 1));
        running.push_back(json::array{json::value(name), run.number, "",
                                      percent, run.work.cpu});
      }
      json::array ended;
      for (const End& end : ended_) {
        if (ended.size() < 500) {
          ended.push_back(json::array{end.number, json::value(end.task),
                                      end.run, json::value(end.how), ""});
        }
      }
      return {200, json::serialize(json::object{{"clock_ms", ClockMs()},
                                                {"born", born_},
                                                {"running", running},
                                                {"ended", ended}})};
    }
    if (path == "/pace") {
      return {200, json::serialize(accepted)};
    }
    return {404, "{}"};
  }

  Record& record_;
  Ledger& ledger_;
  const Address app_;
  const Address agent_;
  const std::string name_;
  const std::string service_;
  const std::vector<std::string> labels_;
  const std::int64_t cpu_;
  std::mutex life_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> up_ = false;
  std::atomic<bool> busy_ = false;
  std::unique_ptr<Server> server_;
  std::thread worker_;
  std::thread beats_;
  std::string id_;
  std::int64_t born_ = 0;
  std::int64_t began_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t deadline_ = 0;
  std::uint64_t last_end_ = 0;
  std::map<std::string, Run> running_;
  std::vector<End> ended_;
  std::map<std::string, std::uint64_t> highest_;
};

// A process of the project. Ended at the latest with this object.
class Process {
 public:
  Process(std::string program, std::string config, std::string log)
      : program_(std::move(program)),
        config_(std::move(config)),
        log_(std::move(log)) {}
  ~Process() { End(SIGKILL); }

  void Start() {
    const pid_t child = ::fork();
    if (child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case.
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl(program_.c_str(), program_.c_str(), "--config", config_.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    id_ = child;
  }

  bool IsRunning() {
    if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_) {
      id_ = 0;
    }
    return id_ > 0;
  }

  void Signal(int number) {
    if (IsRunning()) {
      ::kill(id_, number);
    }
  }

  void End(int number) {
    if (!IsRunning()) {
      return;
    }
    ::kill(id_, number);
    for (int i = 0; i < 400 && IsRunning(); ++i) {
      SleepMs(20);
    }
    if (IsRunning()) {
      ::kill(id_, SIGKILL);
      ::waitpid(id_, nullptr, 0);
      id_ = 0;
    }
  }

 private:
  const std::string program_;
  const std::string config_;
  const std::string log_;
  pid_t id_ = 0;
};

}  // namespace review
