// Stand-ins for the platform's store and for executors, by the users' pages.
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

#include <boost/json.hpp>

#include "http.h"

namespace review {

namespace json = boost::json;

inline std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// What was sent, answered and run, with the time since the start.
class record {
 public:
  explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f  %s\n",
                 static_cast<double>(Now() - started_) / 1000.0, text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const std::int64_t started_ = Now();
};

inline http_message Answer(int status, const json::object& body) {
  http_message answer;
  answer.status = status;
  answer.body = json::serialize(body);
  return answer;
}

inline std::string Base64(const std::string& text) {
  static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8U |
             (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kLetters[bits >> (18U - 6U * j) & 63U] : '=';
    }
  }
  return out;
}

inline std::string QueryValue(const std::string& query, const std::string& key) {
  std::size_t start = 0;
  while (start <= query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string pair = query.substr(start, end - start);
    if (pair.rfind(key + "=", 0) == 0) {
      return pair.substr(key.size() + 1);
    }
    start = end + 1;
  }
  return "";
}

constexpr std::size_t kValueBytes = 1048576;  // value_bytes
constexpr std::int64_t kHistory = 5000;  // ms; may be less than history_s.

// The platform's metadata store. Values stay as their base64 text.
class store {
 public:
  explicit store(address at)
      : server_(std::move(at), [this](const http_message& call) {
          return Handle(call);
        }) {}
  bool Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }

  // As the operator writes.
  void Put(const std::string& key, const std::string& text) {
    const std::lock_guard lock(mutex_);
    Write(key, Base64(text), 0);
    changed_.notify_all();
  }

 private:
  using text_ptr = std::shared_ptr<const std::string>;
  struct item {
    text_ptr value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct event {
    std::string key;
    item value;
    bool removed = false;
    std::int64_t at = 0;
  };
  struct lease {
    std::int64_t ttl = 0;
    std::int64_t ends = 0;
  };

  static json::object Encode(const std::string& key, const item& value) {
    return {{"key", key},
            {"value", *value.value},
            {"revision", value.revision},
            {"created", value.created},
            {"lease", value.lease}};
  }

  void Write(const std::string& key, const std::string& value, std::uint64_t of) {
    item& entry = items_[key];
    entry.value = std::make_shared<const std::string>(value);
    entry.revision = revision_ + 1;
    if (entry.created == 0) {
      entry.created = entry.revision;
    }
    entry.lease = of;
    ++revision_;
    AddEvent({key, entry, false, Now()});
  }

  void AddEvent(event entry) {
    history_.push_back(std::move(entry));
    while (history_.front().at < Now() - kHistory) {
      discarded_ = history_.front().value.revision;
      history_.pop_front();
    }
  }

  void Remove(const std::string& key) {
    if (items_.erase(key) != 0) {
      ++revision_;
      item gone;
      gone.revision = revision_;
      AddEvent({key, gone, true, Now()});
    }
  }

  void EndLease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : items_) {
      if (entry.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
    changed_.notify_all();
  }

  void ExpireLeases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, entry] : leases_) {
      if (Now() >= entry.ends) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      EndLease(id);
    }
  }

  http_message Handle(const http_message& call) {
    std::unique_lock lock(mutex_);
    ExpireLeases();
    if (call.path == "/kv-key") {
      const std::string key = QueryValue(call.query, "key");
      const auto found = items_.find(key);
      json::object body;
      if (found != items_.end()) {
        body = Encode(key, found->second);
      }
      body["store_revision"] = revision_;
      return Answer(found == items_.end() ? 404 : 200, body);
    }
    if (call.path == "/kv-range") {
      const std::string prefix = QueryValue(call.query, "prefix");
      const std::string after = QueryValue(call.query, "after");
      json::array items;
      bool more = false;
      for (const auto& [key, entry] : items_) {
        if (key.rfind(prefix, 0) != 0 || key <= after) {
          continue;
        }
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(Encode(key, entry));
      }
      return Answer(200, {{"items", std::move(items)},
                          {"has_more", more},
                          {"store_revision", revision_}});
    }
    if (call.path == "/kv-watch") {
      return Watch(call, lock);
    }
    if (call.path == "/kv-txn") {
      return Transact(json::parse(call.body).as_object());
    }
    if (call.path == "/kv-lease") {
      const auto ttl = json::parse(call.body).at("ttl_ms").to_number<std::int64_t>();
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {std::max<std::int64_t>(ttl, 1000), 0};
      leases_[id].ends = Now() + leases_[id].ttl;
      return Answer(200, {{"lease", id}, {"ttl_ms", leases_[id].ttl}});
    }
    if (call.path.rfind("/kv-keep/", 0) == 0) {
      const auto found = leases_.find(std::stoull(call.path.substr(9)));
      if (found == leases_.end()) {
        return Answer(404, {});
      }
      found->second.ends = Now() + found->second.ttl;
      return Answer(200, {{"ttl_ms", found->second.ttl}});
    }
    if (call.path.rfind("/kv-lease-end/", 0) == 0) {
      EndLease(std::stoull(call.path.substr(14)));
      return Answer(200, {});
    }
    return Answer(404, {});
  }

  http_message Watch(const http_message& call, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = QueryValue(call.query, "prefix");
    const std::uint64_t after = std::stoull("0" + QueryValue(call.query, "after"));
    const std::int64_t until =
        Now() + std::stoll("0" + QueryValue(call.query, "wait_ms"));
    while (true) {
      ExpireLeases();
      if (after < discarded_) {
        return Answer(410, {});
      }
      json::array events;
      const auto first = std::upper_bound(
          history_.begin(), history_.end(), after,
          [](std::uint64_t revision, const event& entry) {
            return revision < entry.value.revision;
          });
      for (auto next = first; next != history_.end(); ++next) {
        const event& entry = *next;
        if (entry.key.rfind(prefix, 0) != 0) {
          continue;
        }
        if (entry.removed) {
          events.push_back(json::object{{"key", entry.key},
                                        {"revision", entry.value.revision},
                                        {"tombstone", true}});
        } else {
          events.push_back(Encode(entry.key, entry.value));
        }
      }
      if (!events.empty() || Now() >= until) {
        return Answer(200, {{"events", std::move(events)},
                            {"store_revision", revision_}});
      }
      changed_.wait_for(lock, std::chrono::milliseconds(
                                  std::min<std::int64_t>(20, until - Now())));
    }
  }

  http_message Transact(const json::object& body) {
    json::array conflicts;
    bool holds = true;
    for (const json::value& row : body.at("if_revision").as_array()) {
      const std::string key(row.at("key").as_string());
      const auto found = items_.find(key);
      const std::uint64_t present =
          found == items_.end() ? 0 : found->second.revision;
      holds = holds && present == row.at("revision").to_number<std::uint64_t>();
      if (found != items_.end()) {
        conflicts.push_back(Encode(key, found->second));
      } else {
        conflicts.push_back(json::object{{"key", key}, {"revision", 0}});
      }
    }
    if (!holds) {
      return Answer(412, {{"items", std::move(conflicts)}});
    }
    for (const json::value& row : body.at("writes").as_array()) {
      const auto of = row.at("lease").to_number<std::uint64_t>();
      if (of != 0 && leases_.count(of) == 0) {
        return Answer(404, {});
      }
    }
    for (const json::value& row : body.at("writes").as_array()) {
      if (row.at("value").as_string().size() / 4 * 3 > kValueBytes + 2) {
        return Answer(400, {});
      }
    }
    // One revision for the whole change.
    const std::uint64_t revision = revision_ + 1;
    for (const json::value& row : body.at("writes").as_array()) {
      revision_ = revision - 1;
      Write(std::string(row.at("key").as_string()),
            std::string(row.at("value").as_string()),
            row.at("lease").to_number<std::uint64_t>());
    }
    for (const json::value& key : body.at("remove").as_array()) {
      revision_ = revision - 1;
      Remove(std::string(key.as_string()));
    }
    revision_ = revision;
    changed_.notify_all();
    return Answer(200, {{"revision", revision}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::deque<event> history_;
  std::uint64_t discarded_ = 0;  // The last revision that history lacks.
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  http_server server_;
};

constexpr std::int64_t kMaxHold = 6000;      // max_hold_ms
constexpr std::int64_t kBeat = 1500;         // heartbeat_ms

// How the tasks of a job behave. The spec of the job is its key.
struct behaviour {
  std::int64_t work = 500;  // ms; then `done`.
  bool lasts = false;      // Works until it is stopped.
  // ms; the first run of a task that lasts then ends by itself, as `done`.
  std::int64_t exits_after = 0;
  bool is_quiet = false;  // Its runs are not recorded one by one.
  std::int64_t fails_after = 0;  // ms; each run of a task that lasts fails then.
};

// One run, as an executor or a client can see it.
struct seen_run {
  std::string task;
  std::uint64_t run = 0;
  std::string executor;
  std::int64_t started = 0;
  std::int64_t ended = 0;  // 0: it has not.
  std::string how;
};

class executor;

// What all executors share: behaviours and the runs seen.
struct world {
  explicit world(record& log) : log(log) {}
  record& log;
  std::mutex mutex;  // Of everything here and of all executors.
  std::condition_variable changed;
  std::map<std::string, behaviour> behaviours;  // By spec.
  std::vector<std::shared_ptr<seen_run>> runs;
  std::vector<std::unique_ptr<executor>> executors;
  std::set<std::string> started_tasks;
};

class executor {
 public:
  executor(world& shared, int number, address app, address control, json::object capacity)
      : world_(shared),
        id_("i-" + std::to_string(number)),
        app_(std::move(app)),
        control_(std::move(control)),
        capacity_(std::move(capacity)),
        number_(number) {}

  const std::string& Id() const { return id_; }
  bool IsUp() const { return up_; }

  // Begins a boot: holds and knows nothing of before.
  bool Boot() {
    {
      const std::lock_guard lock(world_.mutex);
      born_ = WallNow();
      clock_zero_ = Now() - 1000 * (1 + number_);
      running_.clear();
      ended_.clear();
      highest_.clear();
      last_end_ = 0;
      token_ = 0;
      deadline_ = 0;
      sequence_ = 0;
    }
    server_ = std::make_unique<http_server>(
        app_, [this](const http_message& call) { return Handle(call); });
    if (!server_->Start()) {
      return false;
    }
    up_ = true;
    beats_ = std::thread([this] { Beat(); });
    world_.log.Line(id_ + " up, born " + std::to_string(born_));
    return true;
  }

  // Everything that runs here is gone, with the list of ends.
  void Crash() {
    if (!up_.exchange(false)) {
      return;
    }
    {
      const std::lock_guard lock(world_.mutex);
      for (auto& [task, entry] : running_) {
        entry.seen->ended = Now();
        entry.seen->how = "lost";
      }
      running_.clear();
    }
    world_.changed.notify_all();
    server_->Stop();
    beats_.join();
    world_.log.Line(id_ + " crashed");
  }

  // Advances the runs; the world's mutex is held.
  void Tick() {
    if (!up_) {
      return;
    }
    if (Clock() >= deadline_) {
      while (!running_.empty()) {
        End(running_.begin()->first, "lapsed");
      }
      return;
    }
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, entry] : running_) {
      if (entry.stop_at != 0) {
        if (Now() >= entry.stop_at) {
          ends.emplace_back(task, "stopped");
        }
        continue;
      }
      const behaviour& way = entry.way;
      const std::int64_t worked = Now() - entry.begins;
      if (way.lasts) {
        if (way.fails_after > 0 && worked >= way.fails_after) {
          ends.emplace_back(task, "failed");
        } else if (way.exits_after > 0 && entry.is_first &&
            worked >= way.exits_after) {
          ends.emplace_back(task, "done");
        }
      } else if (worked >= way.work) {
        ends.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ends) {
      End(task, how);
    }
  }

  // Ends a run. The mutex is held.
  void End(const std::string& task, const std::string& how) {
    const auto found = running_.find(task);
    if (found == running_.end()) {
      return;
    }
    const run_here entry = found->second;
    running_.erase(found);
    entry.seen->ended = Now();
    entry.seen->how = how;
    ended_.push_back({++last_end_, task, entry.seen->run, how});
    if (!entry.way.is_quiet) {
      world_.log.Line(id_ + " " + task + " run " +
                      std::to_string(entry.seen->run) + " ended " + how);
    }
    world_.changed.notify_all();
  }

  bool IsIdle() const { return up_ && running_.empty(); }
  bool Runs(const std::string& task) const { return running_.count(task) != 0; }

  // Sends a liveness report under this executor's id as another writer might:
  // its service is not one that the configuration names. Returns the status.
  int SendForeignReport() {
    const json::object body{{"service", "nonsense"},
                            {"address", app_.Text()},
                            {"zone", "a"},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"capacity", capacity_},
                            {"labels", json::array{"a", "r1-0"}},
                            {"born", born_},
                            {"clock_ms", Clock()},
                            {"sequence", 5000}};
    return Call(control_, "PUT", "/instances/" + id_, json::serialize(body), 1000)
        .status;
  }

  // Ends that the system has not taken note of yet.
  std::size_t OpenEnds() const { return ended_.size(); }

 private:
  struct run_here {
    std::shared_ptr<seen_run> seen;
    behaviour way;
    std::int64_t begins = 0;
    std::int64_t stop_at = 0;
    bool is_first = true;  // Of the task.
  };
  struct listed_end {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  std::int64_t Clock() const { return Now() - clock_zero_; }

  void Beat() {
    std::int64_t next = 0;
    while (up_) {
      if (Now() < next) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        continue;
      }
      next = Now() + kBeat;
      json::object body{{"service", "cutting"},
                        {"address", app_.Text()},
                        {"zone", "a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"capacity", capacity_},
                        {"labels", json::array{"a", "r1-" + std::to_string(number_ / 3)}},
                        {"born", born_},
                        {"clock_ms", Clock()},
                        {"sequence", ++sequence_}};
      Call(control_, "PUT", "/instances/" + id_, json::serialize(body), 1000);
    }
  }

  http_message Handle(const http_message& call) {
    std::unique_lock lock(world_.mutex);
    if (!up_) {
      return http_message();  // It crashed while the call came.
    }
    const auto expected = call.headers.find("x-expect-instance");
    if (expected != call.headers.end() && expected->second != id_) {
      return Answer(421, {{"clock_ms", Clock()}});
    }
    const json::object body = json::parse(call.body).as_object();
    const json::value* token = body.if_contains("fencing_token");
    const std::uint64_t shown = token ? token->to_number<std::uint64_t>() : 0;
    if (shown < token_) {
      return Refuse("fence");
    }
    token_ = shown;
    if (call.path == "/hold") {
      return Hold(body, lock);
    }
    const std::string task(body.at("task").as_string());
    const auto run = body.at("run").to_number<std::uint64_t>();
    if (call.path == "/run-start") {
      return Start(body, task, run);
    }
    if (call.path == "/run-stop") {
      std::uint64_t& highest = highest_[task];
      highest = std::max(highest, run);
      const auto found = running_.find(task);
      if (found != running_.end() && found->second.seen->run == run &&
          found->second.stop_at == 0) {
        found->second.stop_at = Now() + 100;  // stop_ms is 200 or more.
      }
      return Answer(200, {{"clock_ms", Clock()}});
    }
    return Answer(200, {{"clock_ms", Clock()}});  // A pace.
  }

  http_message Refuse(const char* reason) {
    return Answer(409, {{"clock_ms", Clock()}, {"reason", reason}});
  }

  void TakeDeadline(const json::object& body) {
    if (const json::value* until = body.if_contains("deadline_ms")) {
      deadline_ = std::max(deadline_, std::min(until->to_number<std::int64_t>(),
                                               Clock() + kMaxHold));
    }
  }

  http_message Start(const json::object& body,
                     const std::string& task,
                     std::uint64_t run) {
    if (body.at("deadline_ms").to_number<std::int64_t>() <= Clock()) {
      return Refuse("late");
    }
    TakeDeadline(body);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.seen->run == run) {
      return Answer(200, {{"clock_ms", Clock()}});
    }
    if (run <= highest_[task] || found != running_.end()) {
      return Refuse("old");
    }
    highest_[task] = run;
    run_here entry;
    entry.seen = std::make_shared<seen_run>();
    entry.seen->task = task;
    entry.seen->run = run;
    entry.seen->executor = id_;
    entry.seen->started = Now();
    entry.way = world_.behaviours[std::string(body.at("spec").as_string())];
    entry.begins = Now();
    entry.is_first = world_.started_tasks.insert(task).second;
    world_.runs.push_back(entry.seen);
    running_[task] = entry;
    if (!entry.way.is_quiet) {
      world_.log.Line(id_ + " " + task + " run " + std::to_string(run) +
                      " started, token " + std::to_string(token_));
    }
    return Answer(200, {{"clock_ms", Clock()}});
  }

  http_message Hold(const json::object& body, std::unique_lock<std::mutex>& lock) {
    TakeDeadline(body);
    const auto seen = body.at("seen_upto").to_number<std::uint64_t>();
    while (!ended_.empty() && ended_.front().number <= seen) {
      ended_.erase(ended_.begin());
    }
    const json::value* wait = body.if_contains("wait_ms");
    const std::int64_t until = Now() + (wait ? wait->to_number<std::int64_t>() : 0);
    while (up_ && ended_.empty() && Now() < until) {
      world_.changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    if (!up_) {
      return http_message();
    }
    json::array running;
    for (const auto& [task, entry] : running_) {
      const std::int64_t worked = Now() - entry.begins;
      const std::int64_t percent =
          entry.way.lasts
              ? (worked >= 300 ? 100 : 50)
              : std::min<std::int64_t>(99, 100 * worked / entry.way.work);
      running.push_back(json::array{task, entry.seen->run, "", percent, 0});
    }
    json::array ended;
    for (const listed_end& entry : ended_) {
      if (ended.size() == 500) {
        break;
      }
      ended.push_back(json::array{entry.number, entry.task, entry.run, entry.how, ""});
    }
    return Answer(200, {{"clock_ms", Clock()},
                        {"born", born_},
                        {"running", std::move(running)},
                        {"ended", std::move(ended)}});
  }

  world& world_;
  const std::string id_;
  const address app_;
  const address control_;
  const json::object capacity_;
  const int number_;
  std::unique_ptr<http_server> server_;
  std::thread beats_;
  std::atomic<bool> up_{false};
  std::int64_t born_ = 0;
  std::int64_t clock_zero_ = 0;
  std::map<std::string, run_here> running_;
  std::vector<listed_end> ended_;
  std::map<std::string, std::uint64_t> highest_;
  std::uint64_t last_end_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t deadline_ = 0;
  std::atomic<std::uint64_t> sequence_{0};
};

}  // namespace review
