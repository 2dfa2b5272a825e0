// A small deployment: the store, 3 entries, and 11 agents with their executors,
// each machine at a loopback address of its own.
#pragma once

#include <sstream>

#include "platform.h"

namespace review {

constexpr int kEntries = 3;
constexpr int kAgents = 11;
constexpr std::int64_t kExecutorCpu = 64'000;
// The only executor of its kind.
constexpr int kSpecial = 11;
constexpr const char* kSpecialKind = "b";

struct Ports {
  int front = 0;
  int ready = 0;
  int control = 0;
  int rpc = 0;
  int http = 0;
  int app = 0;
  int store = 0;
};

struct Machine {
  std::string name;
  std::string ip;
  std::unique_ptr<Process> process;
  std::unique_ptr<Executor> executor;  // On machines of agents.
};

class Fleet {
 public:
  Fleet(Record& record,
        std::string program,
        std::string templates,
        std::string folder)
      : record_(record),
        program_(std::move(program)),
        templates_(std::move(templates)),
        folder_(std::move(folder)),
        store_(record) {}

  ~Fleet() {
    for (auto* machines : {&agents_, &entries_}) {
      for (Machine& machine : *machines) {
        machine.process->Signal(SIGCONT);
        machine.process->Signal(SIGTERM);
      }
    }
    for (auto* machines : {&agents_, &entries_}) {
      for (Machine& machine : *machines) {
        machine.process->End(SIGKILL);
      }
    }
    agents_.clear();
    store_.Close();
  }

  // Starts all and waits until the entries are ready; false if that fails.
  bool Start() {
    const int net = 10 + static_cast<int>(::getpid() % 200);
    net_ = "127." + std::to_string(net) + ".";
    for (int base = 21'000 + static_cast<int>(::getpid() % 97) * 100;;
         base += 10) {
      if (base > 32'000) {
        return false;
      }
      ports_ = {base,     base + 1, base + 2, base + 3,
                base + 4, base + 5, base + 6};
      if (store_.Listen({net_ + "0.1", ports_.store})) {
        break;
      }
    }
    store_.Put("op/config", Config());
    for (int i = 1; i <= kEntries; ++i) {
      AddEntry(net_ + "1." + std::to_string(i));
    }
    for (int i = 1; i <= kAgents; ++i) {
      agents_.push_back(MakeAgent(i));
    }
    for (auto* machines : {&agents_, &entries_}) {
      for (Machine& machine : *machines) {
        machine.process->Start();
      }
    }
    for (Machine& agent : agents_) {
      if (!agent.executor->Boot()) {
        return false;
      }
    }
    return AwaitReady(20'000);
  }

  bool AwaitReady(std::int64_t limit) {
    const std::int64_t until = NowMs() + limit;
    for (const Machine& entry : entries_) {
      while (Call({entry.ip, ports_.ready}, "GET", "/readiness", "Host: x\r\n",
                  "", 500)
                 .status != 200) {
        if (NowMs() > until) {
          return false;
        }
        SleepMs(50);
      }
    }
    return true;
  }

  // A client's call. `deadline`: how long the client waits, in ms.
  Message Ask(int entry,
              const std::string& method,
              const std::string& id,
              const std::string& body,
              std::int64_t deadline) {
    const Machine& to = entries_[static_cast<std::size_t>(entry)];
    return Call({to.ip, ports_.front}, method, "/queue/" + id,
                "Host: jobs.example\r\nX-Deadline-Remaining: " +
                    std::to_string(deadline) + "\r\n",
                body, deadline);
  }

  void AddEntry(const std::string& ip) {
    entries_.push_back(
        Make("front-" + std::to_string(entries_.size() + 1), ip, "entry.ini"));
  }

  // Ends all entries for good, and starts as many empty ones at other addresses
  // `later` ms after that.
  bool ReplaceEntries(std::int64_t later) {
    for (Machine& entry : entries_) {
      entry.process->End(SIGKILL);
    }
    SleepMs(later);
    entries_.clear();
    for (int i = 1; i <= kEntries; ++i) {
      AddEntry(net_ + "3." + std::to_string(i));
      entries_.back().process->Start();
    }
    return AwaitReady(20'000);
  }

  Store& GetStore() { return store_; }
  Ledger& GetLedger() { return ledger_; }
  std::vector<Machine>& Entries() { return entries_; }
  std::vector<Machine>& Agents() { return agents_; }

 private:
  static std::string Config() {
    return json::serialize(json::object{
        {"version", 3},
        {"routes", json::array{json::object{{"name", "r-work"},
                                            {"host", "jobs.example"},
                                            {"prefix", "/queue/"},
                                            {"service", "shop"},
                                            {"priority", 0},
                                            {"max_attempts", 3},
                                            {"stretch", 1.5},
                                            {"latency_target_ms", 250},
                                            {"timeout_ms", 3000}}}},
        {"services", json::array{json::object{{"name", "shop"},
                                              {"rejects_overload", true}}}},
        {"limits", json::object{{"max_body_bytes", 262'144}}}});
  }

  // Fills in a template of settings as the platform does.
  std::string Render(const std::string& file,
                     const std::string& name,
                     const std::string& ip) const {
    std::ifstream in(templates_ + "/" + file);
    std::stringstream read;
    read << in.rdbuf();
    std::string text = read.str();
    const auto at = [](const std::string& host, int port) {
      return host + ":" + std::to_string(port);
    };
    std::string seeds;
    for (int i = 1; i <= kEntries; ++i) {
      seeds += (i > 1 ? "," : "") +
               at(net_ + "1." + std::to_string(i), ports_.control);
    }
    const std::map<std::string, std::string> fields{
        {"node_name", name},
        {"ip", ip},
        {"zone", "z"},
        {"internal_ports.0", std::to_string(ports_.rpc)},
        {"internal_ports.1", std::to_string(ports_.http)},
        {"platform.address", at(net_ + "0.1", ports_.store)},
        {"listen.front", at(ip, ports_.front)},
        {"listen.ready", at(ip, ports_.ready)},
        {"listen.control", at(ip, ports_.control)},
        {"app", at(ip, ports_.app)},
        {"seeds", seeds},
        {"limits.cpu_share", "0.25"},
        {"bounds.max_hold_ms", "6000"}};
    for (const auto& [field, value] : fields) {
      const std::string mark = "{{" + field + "}}";
      for (std::size_t place = 0;
           (place = text.find(mark)) != std::string::npos;) {
        text.replace(place, mark.size(), value);
      }
    }
    return text;
  }

  Machine Make(const std::string& name,
               const std::string& ip,
               const std::string& file) {
    const std::string config = folder_ + "/" + name + ".ini";
    std::ofstream(config) << Render(file, name, ip);
    Machine machine;
    machine.name = name;
    machine.ip = ip;
    machine.process = std::make_unique<Process>(program_, config,
                                                folder_ + "/" + name + ".log");
    return machine;
  }

  Machine MakeAgent(int number) {
    const std::string ip = net_ + "2." + std::to_string(number);
    Machine machine = Make("side-" + std::to_string(number), ip, "agent.ini");
    machine.executor = std::make_unique<Executor>(
        record_, ledger_, Address{ip, ports_.app}, Address{ip, ports_.control},
        "i-" + std::to_string(number), "shop",
        std::vector<std::string>{number == kSpecial ? kSpecialKind : "a",
                                 "r-" + std::to_string((number + 2) / 3)},
        kExecutorCpu);
    return machine;
  }

  Record& record_;
  const std::string program_;
  const std::string templates_;
  const std::string folder_;
  std::string net_;
  Ports ports_;
  Ledger ledger_;
  Store store_;
  std::vector<Machine> entries_;
  int entries_made_ = 0;
  std::vector<Machine> agents_;
};

// One step of a job, all of whose tasks are alike.
struct StepSpec {
  int count = 1;
  std::int64_t cpu = 1000;
  std::int64_t takes = 500;
  std::string label = {};  // That the executor must have.
};

inline std::string JobBody(Ledger& ledger,
                           const std::string& id,
                           const std::vector<StepSpec>& steps) {
  json::array rows;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    ledger.Define(id + ".0." + std::to_string(i),
                  {steps[i].cpu, steps[i].takes});
    json::object row{{"count", steps[i].count},
                     {"cpu", steps[i].cpu},
                     {"mem_mb", 500},
                     {"estimate_ms", steps[i].takes}};
    if (!steps[i].label.empty()) {
      row["requires"] = steps[i].label;
    }
    if (i > 0) {
      row["after"] = json::array{i - 1};
    }
    rows.push_back(std::move(row));
  }
  return json::serialize(
      json::object{{"spec", "work of " + id}, {"steps", rows}});
}

inline std::string JobId(std::uint64_t number) {
  char text[32];
  std::snprintf(
      text, sizeof text, "%016llx",
      static_cast<unsigned long long>(0x5eed000000000000ULL + number));
  return text;
}

inline std::string StateIn(const Message& answer) {
  if (answer.status != 200) {
    return "";
  }
  return String(json::parse(answer.body).as_object(), "state");
}

}  // namespace review
