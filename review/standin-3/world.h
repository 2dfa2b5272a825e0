// Stand-ins for the users' platform: its store, its executors, the supervisor
// of the processes and clients. They speak what PROTOCOL.md and DEPLOY.md say.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

namespace world {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;
using ms = std::int64_t;

ms Now();      // Steady, in ms since the start of this program.
ms WallMs();   // Since 1970.

// What was sent, answered and run.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);
  void Say(const std::string& text);  // Also on standard output.

 private:
  std::ofstream file_;
};

using responder = std::function<void(unsigned status, json::object body)>;
using handler = std::function<void(const request&, responder)>;

// A small HTTP server. Close() ends it and resets its connections.
class server : public std::enable_shared_from_this<server> {
 public:
  server(asio::io_context& context, handler handle)
      : context_(context), acceptor_(context), handle_(std::move(handle)) {}
  bool Listen(const std::string& ip, int port);
  void Close();

 private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket);

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  handler handle_;
  std::list<std::weak_ptr<tcp::socket>> sockets_;
  bool closed_ = false;
};

struct answer {
  unsigned status = 0;  // 0: no answer.
  std::string body;
  std::string Text(const char* key) const;
};

// One request on a connection of its own.
asio::awaitable<answer> Call(std::string ip,
                             int port,
                             std::string method,
                             std::string target,
                             std::string host,
                             std::string body,
                             ms timeout);

asio::awaitable<void> Sleep(ms time);

class store {
 public:
  explicit store(asio::io_context& context);
  bool Listen(const std::string& ip, int port);
  void Put(const std::string& key, const std::string& text);
  std::string Value(const std::string& key) const;
  // Number of refused writes whose value is too large.
  int Oversized() const { return oversized_; }

 private:
  struct item {
    std::string value;  // As base64 text.
    std::uint64_t revision = 0, created = 0, lease = 0;
  };
  struct event {
    std::string key;
    item value;
    bool removal = false;
    ms at = 0;
  };
  struct lease {
    ms length = 0, end = 0;
  };
  struct watch {
    std::string prefix;
    std::uint64_t after = 0;
    ms until = 0;
    responder respond;
  };
  static json::object Encode(const std::string& key, const item& value);
  void Handle(const request& call, responder respond);
  void Write(const std::string& key, item value, std::uint64_t revision);
  void Remove(const std::string& key, std::uint64_t revision);
  void EndLease(std::uint64_t id);
  bool AnswerWatch(watch& waiting);
  void AnswerWatches();
  asio::awaitable<void> Tick();

  asio::io_context& context_;
  std::shared_ptr<server> server_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<event> history_;
  std::uint64_t discarded_ = 0, revision_ = 1, last_lease_ = 0;
  std::list<watch> watches_;
  int oversized_ = 0;
};

// What was seen of one run.
struct seen_run {
  std::string task;
  std::uint64_t run = 0, token = 0;
  int executor = 0;
  ms begun = 0, ended = 0;
  std::string how;  // Empty while it runs; "crashed": with its executor.
};

// The text of a job for its executors: "length_ms cpu mem_mb".
struct work {
  ms length = 0;
  int cpu = 0, memory = 0;
};

class executor {
 public:
  executor(asio::io_context& context, record& log, int number, std::string ip,
           int port, int agent_port, std::string zone);
  bool Start();
  // Ends without notice, and comes back as another boot after `down`.
  asio::awaitable<void> Crash(ms down);
  // Another writer sends a report about this executor: a service that the
  // configuration doesn't name, and a sequence of its own.
  asio::awaitable<void> AnnounceByOther();
  const std::vector<std::shared_ptr<seen_run>>& Runs() const { return seen_; }
  bool IsUp() const { return up_; }
  int Number() const { return number_; }
  int CpuInUse() const;
  int MemoryInUse() const;
  bool RunsJob(const std::string& id) const;
  // The run of a task that is at work here now.
  std::shared_ptr<seen_run> Running(const std::string& task) const;

  static constexpr int kCpu = 64'000;
  static constexpr int kMemory = 250'000;
  static constexpr ms kStopMs = 200;
  static constexpr ms kMaxHold = 6'000;
  static constexpr ms kCheckpoint = 2'000;
  static constexpr ms kRestore = 250;

 private:
  struct run_here {
    std::shared_ptr<seen_run> seen;
    work what;
    ms begun = 0;   // When work began or was resumed.
    ms before = 0;  // Work of the checkpoint that it was resumed from.
    ms stop_at = 0;
    ms Worked() const;
    std::string Saved() const;
  };
  struct listed_end {
    std::uint64_t number = 0;
    std::shared_ptr<seen_run> seen;
    std::string saved;
  };
  struct hold {
    ms until = 0;
    responder respond;
  };
  ms Clock() const;
  void Handle(const request& call, responder respond);
  void Extend(const json::object& body);
  void End(const std::string& task, const char* how);
  void Lapse();
  json::object Listing() const;
  asio::awaitable<void> Tick(int boot);
  json::object Announcement(std::uint64_t sequence) const;
  asio::awaitable<void> Announce(int boot);

  asio::io_context& context_;
  record& log_;
  const int number_;
  const std::string ip_;
  const int port_, agent_port_;
  const std::string zone_;
  std::shared_ptr<server> server_;
  int boot_ = 0;
  bool up_ = false;
  std::string id_;
  ms born_ = 0, clock_zero_ = 0, lease_end_ = 0;
  std::uint64_t token_ = 0, last_end_ = 0, sequence_ = 0;
  std::map<std::string, run_here> running_;
  std::deque<listed_end> ended_;
  std::map<std::string, std::uint64_t> highest_;
  std::list<hold> holds_;
  std::vector<std::shared_ptr<seen_run>> seen_;
};

// The processes of a small deployment: 3 entries and 11 agents, started by the
// commands of the deploy file with settings by its templates. Restarts those
// that end, and kills those over their memory.
class fleet {
 public:
  fleet(asio::io_context& context, record& log, std::string root,
        std::string folder);
  ~fleet();
  bool Start();
  void Stop();

  struct process {
    std::string name, ip;
    bool entry = false;
    pid_t pid = 0;
    ms started = 0, ended = 0;
    std::vector<std::string> ends;  // Why and when it ended by itself.
    ms peak_mb = 0;
  };

  std::vector<process>& Processes() { return processes_; }
  std::vector<std::unique_ptr<executor>>& Executors() { return executors_; }
  store& Store() { return store_; }
  std::string EntryIp(int number) const { return Ip(1, number + 1); }
  int FrontPort() const { return port_ + 3; }
  int ReadyPort() const { return port_ + 4; }
  int Ended() const;  // How often processes ended by themselves.

  static constexpr int kEntries = 3;
  static constexpr int kAgents = 11;
  static constexpr ms kEntryMemory = 260;  // MB, as on SYSTEM.md's sheet.
  static constexpr ms kAgentMemory = 128;
  static constexpr ms kMegabyte = 1'048'576;
  static constexpr ms kRestartDelay = 500;

 private:
  std::string Ip(int kind, int number) const;
  bool FindPorts();
  std::string Render(std::string text, const process& of) const;
  void Launch(process& what);
  asio::awaitable<void> Supervise();

  asio::io_context& context_;
  record& log_;
  const std::string root_, folder_;
  store store_;
  std::vector<process> processes_;
  std::vector<std::unique_ptr<executor>> executors_;
  std::string net_;
  int port_ = 0;
  bool stopping_ = false;
};

// A client of the front address: tries again at other entries, as clients do.
class client {
 public:
  client(asio::io_context& context, record& log, fleet& processes)
      : context_(context), log_(log), fleet_(processes) {}
  static std::string NewId();
  struct job {
    std::string id;
    bool accepted = false;
    bool refused = false;  // Every answer was 429 or 503, or a 4xx.
    ms accepted_at = 0;
    std::string state;
    ms completed_at = 0;
  };
  asio::awaitable<answer> Once(int entry, std::string method, std::string id,
                               std::string body, ms timeout = 3'000);
  // Up to five tries.
  asio::awaitable<void> Submit(std::shared_ptr<job> made, std::string body);
  // Asks at the entries in turn until one answers.
  asio::awaitable<std::string> State(std::string id, int tries = 3);

  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";

 private:
  asio::io_context& context_;
  record& log_;
  fleet& fleet_;
  int next_ = 0;
};

std::string MakeConfig();

}  // namespace world
