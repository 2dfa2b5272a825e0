// The cases of the second review that are scripts. Exit codes: 0 the rule held,
// 1 it was broken, 2 the case could not run.
#include <boost/json/src.hpp>

#include "fleet.h"

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

constexpr std::int64_t kCancelMs = 3'000;   // The site's cancel_ms.
constexpr std::int64_t kFinishMs = 14'000;  // finish_s
constexpr std::int64_t kIdleMs = 3'000;     // Of LOST.
constexpr std::int64_t kVisibleMs = 3'000;  // visible_ms

// Hands in a job and waits for its end: the deployment works.
bool Warm(Fleet& fleet, Record& record, std::uint64_t number) {
  const std::string id = JobId(number);
  const std::string body = JobBody(fleet.GetLedger(), id, {{3, 1000, 300}});
  for (const std::int64_t until = NowMs() + 25'000; NowMs() < until;
       SleepMs(200)) {
    const int status = fleet.Ask(0, "POST", id, body, 3'000).status;
    record.Say("warm-up: POST %s -> %d", id.c_str(), status);
    if (status != 200) {
      continue;
    }
    while (NowMs() < until) {
      if (StateIn(fleet.Ask(0, "GET", id, "", 3'000)) == "completed") {
        record.Say("warm-up: completed");
        return true;
      }
      SleepMs(100);
    }
  }
  return false;
}

// A client hands a job in, the store loses the answer to that write and carries
// it out late, the client gives up and cancels.
int CancelLost(Fleet& fleet, Record& record, bool trouble) {
  const std::string id = JobId(10);
  const std::string body = JobBody(fleet.GetLedger(), id, {{6, 1000, 1'500}});
  const std::string key = "chervilkeel/inbox/job/" + id;
  constexpr std::int64_t kLateMs = 5'500;
  auto armed = std::make_shared<std::atomic<bool>>(trouble);
  fleet.GetStore().SetLate([armed, key](const json::object& write) {
    const json::value* rows = write.if_contains("writes");
    if (rows == nullptr) {
      return std::int64_t{-1};
    }
    for (const json::value& row : rows->as_array()) {
      if (String(row.as_object(), "key") == key && armed->exchange(false)) {
        return kLateMs;
      }
    }
    return std::int64_t{-1};
  });
  const Message handed_in = fleet.Ask(0, "POST", id, body, 700);
  record.Say(
      "client: POST %s to front-1 with 700 ms to go -> %d (0: no answer)",
      id.c_str(), handed_in.status);
  SleepMs(50);
  const Message cancelled = fleet.Ask(1, "DELETE", id, "", 3'000);
  const std::int64_t acked = NowMs();
  record.Say("client: DELETE %s to front-2 -> %d %s", id.c_str(),
             cancelled.status, cancelled.body.c_str());
  if (cancelled.status / 100 != 2 && cancelled.status != 410) {
    record.Say("the cancelling was not acknowledged");
    return kCannotRun;
  }
  SleepMs(12'000);
  const Message state = fleet.Ask(1, "GET", id, "", 3'000);
  record.Say("client: GET %s -> %d %s", id.c_str(), state.status,
             state.body.c_str());
  int late = 0;
  for (const Start& start : fleet.GetLedger().StartsOf(id)) {
    const std::int64_t after = start.at - acked;
    record.Say("executor %s began %s run %llu, %lld ms after the ack of DELETE",
               start.executor.c_str(), start.task.c_str(),
               static_cast<unsigned long long>(start.run),
               static_cast<long long>(after));
    late += after > kCancelMs ? 1 : 0;
  }
  record.Say("starts later than cancel_ms (%lld) after the ack: %d",
             static_cast<long long>(kCancelMs), late);
  return late > 0 ? kBroken : kHeld;
}

// Jobs that only one executor can run, while that one rejects all starts.
int WrongCount(Fleet& fleet, Record& record, bool trouble) {
  constexpr std::uint64_t kJobs = 6;
  constexpr std::int64_t kBusyMs = 6'500;
  Executor& special = *fleet.Agents()[kSpecial - 1].executor;
  special.SetBusy(trouble);
  const std::int64_t began = NowMs();
  std::map<std::string, std::int64_t> accepted;
  std::mutex mutex;
  std::vector<std::thread> clients;
  for (std::uint64_t i = 0; i < kJobs; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = JobId(20 + i);
      const std::string body =
          JobBody(fleet.GetLedger(), id, {{1, 1'000, 500, kSpecialKind}});
      const int status =
          fleet.Ask(static_cast<int>(i) % kEntries, "POST", id, body, 3'000)
              .status;
      record.Say("client: POST %s -> %d", id.c_str(), status);
      const std::lock_guard lock(mutex);
      if (status == 200) {
        accepted[id] = NowMs();
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int wrong = 0;
  for (int turn = 0; NowMs() - began < 12'000; ++turn) {
    if (NowMs() - began > kBusyMs) {
      special.SetBusy(false);
    }
    SleepMs(250);
    const std::int64_t asked = NowMs();
    int waiting = 0;
    for (const auto& [id, at] : accepted) {
      waiting += asked - at > kVisibleMs + 2'000 &&
                         fleet.GetLedger().StartsOf(id).empty()
                     ? 1
                     : 0;
    }
    const Message answer = fleet.Ask(turn % kEntries, "GET", "", "", 3'000);
    if (answer.status != 200) {
      record.Say("client: GET /queue/ -> %d", answer.status);
      continue;
    }
    const std::uint64_t pending =
        Number(json::parse(answer.body).as_object(), "pending");
    const bool is_wrong = 2 * pending < static_cast<std::uint64_t>(waiting);
    wrong += is_wrong ? 1 : 0;
    record.Say(
        "client: GET /queue/ -> pending %llu; %d jobs have waited for over "
        "%lld ms without a start%s",
        static_cast<unsigned long long>(pending), waiting,
        static_cast<long long>(kVisibleMs + 2'000), is_wrong ? ": wrong" : "");
  }
  for (const auto& [id, at] : accepted) {
    for (const Start& start : fleet.GetLedger().StartsOf(id)) {
      record.Say("executor %s began %s, %lld ms after the ack of POST",
                 start.executor.c_str(), start.task.c_str(),
                 static_cast<long long>(start.at - at));
    }
  }
  record.Say("wrong counts: %d", wrong);
  if (accepted.size() != kJobs) {
    return kCannotRun;
  }
  return wrong > 0 ? kBroken : kHeld;
}

// All entries are replaced at once, then a client hands a job in.
int AllReplaced(Fleet& fleet, Record& record, bool trouble) {
  if (trouble) {
    record.Say("all entries are killed; new ones come at other addresses");
    if (!fleet.ReplaceEntries(2'000)) {
      record.Say("the new entries are not ready");
      return kCannotRun;
    }
    record.Say("the new entries are ready");
  }
  const std::string id = JobId(30);
  const std::string body = JobBody(fleet.GetLedger(), id, {{6, 1'000, 500}});
  const int status = fleet.Ask(0, "POST", id, body, 3'000).status;
  record.Say("client: POST %s -> %d", id.c_str(), status);
  if (status != 200) {
    return kCannotRun;
  }
  const std::int64_t accepted = NowMs();
  std::int64_t began = 0;
  std::string state;
  while (NowMs() - accepted < 75'000 && state != "completed") {
    SleepMs(500);
    const auto starts = fleet.GetLedger().StartsOf(id);
    if (began == 0 && !starts.empty()) {
      began = starts.front().at - accepted;
      record.Say("executor %s began %s, %lld ms after the ack of POST",
                 starts.front().executor.c_str(), starts.front().task.c_str(),
                 static_cast<long long>(began));
    }
    const Message answer = fleet.Ask(1, "GET", id, "", 3'000);
    const std::string seen = StateIn(answer);
    if (seen != state) {
      state = seen;
      record.Say("client: GET %s -> %d %s", id.c_str(), answer.status,
                 state.c_str());
    }
  }
  const bool is_late = began == 0 || began > kFinishMs + kIdleMs;
  record.Say(
      "first start %s than finish_s and 3 s after the end of the traffic",
      is_late ? "later" : "no later");
  return is_late ? kBroken : kHeld;
}

int Play(const std::string& name, Fleet& fleet, Record& record, bool trouble) {
  if (!fleet.Start() || !Warm(fleet, record, 1) || !Warm(fleet, record, 2)) {
    record.Say("the deployment did not start");
    return kCannotRun;
  }
  SleepMs(1'000);
  if (name == "cancel-lost") {
    return CancelLost(fleet, record, trouble);
  }
  if (name == "all-replaced") {
    return AllReplaced(fleet, record, trouble);
  }
  if (name == "wrong-count") {
    return WrongCount(fleet, record, trouble);
  }
  return kCannotRun;
}

}  // namespace

}  // namespace review

// Arguments: case, daemon, folder of templates, temporary folder, record.
int main(int argc, char** argv) {
  if (argc != 6) {
    return review::kCannotRun;
  }
  const char* wanted = std::getenv("TROUBLE");
  const bool trouble = wanted == nullptr || std::string(wanted) != "0";
  review::Record record(argv[5]);
  record.Say("case %s, %s the disruption", argv[1],
             trouble ? "with" : "without");
  int code = review::kCannotRun;
  try {
    review::Fleet fleet(record, argv[2], argv[3], argv[4]);
    code = review::Play(argv[1], fleet, record, trouble);
  } catch (const std::exception& failure) {
    record.Say("could not run: %s", failure.what());
  }
  record.Say("%s", code == 0   ? "the rule held"
                   : code == 1 ? "the rule was broken"
                               : "the case could not run");
  return code;
}
