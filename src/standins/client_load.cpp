// Clients, for tests and the demo: sends requests to entries at a given rate,
// times them by service, checks that each answer is the whole answer to its own
// request, and writes a ledger of what each client was told.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "chervilkeel/clock.h"
#include "chervilkeel/http_client.h"

namespace chervilkeel {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

// One part of the load: a service, its rate, and how its requests are marked.
struct load_part {
  std::string service;
  double per_second = 0;
  bool keyed = false;  // Non-idempotent, sent with an idempotency key.
};

struct load_options {
  std::vector<endpoint> entries;
  std::vector<load_part> parts;
  double seconds = 10;
  double crest_from = 0;  // Seconds after the start.
  double crest_until = 0;
  double crest_factor = 1;  // Of the rates during the crest.
  std::size_t body_bytes = 200;
  std::uint64_t seed = 1;
  std::string ledger;
};

// What one client was told.
struct client_record {
  std::string token;
  std::string key;
  std::string service;
  std::string outcome;  // answered, not-run, unknown, refused, unreachable
  std::string request_id;
  std::string reason;  // Why there was no answer.
  bool whole = true;   // The answer was the whole answer to this request.
  bool repeat = false;
  bool in_crest = false;
  double latency_ms = 0;
};

std::string HeaderOf(const http_response& response, const char* name) {
  http_request view;
  view.headers = response.headers;
  return view.Header(name);
}

// Reads the reason out of an answer that says why there is none.
std::string ReasonOf(const http_response& response) {
  boost::system::error_code failure;
  const json::value body = json::parse(response.body, failure);
  if (failure || !body.is_object()) {
    return "";
  }
  const json::value* reason = body.as_object().if_contains("reason");
  return reason ? std::string(reason->as_string()) : response.body;
}

// Sends the load. Runs on one thread.
class client_load {
 public:
  client_load(asio::io_context& context, load_options options)
      : context_(context),
        options_(std::move(options)),
        random_(options_.seed),
        started_at_(MonotonicMicros()) {
    for (const endpoint& entry : options_.entries) {
      pools_.push_back(std::make_shared<http_pool>(context_, entry, 512));
    }
    failed_until_.resize(pools_.size(), 0);
    healthy_.resize(pools_.size(), true);
  }

  void Start() {
    for (const load_part& part : options_.parts) {
      Schedule(part);
    }
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      CheckHealth(i);
    }
  }

  const std::vector<client_record>& Records() const { return records_; }

 private:
  double Elapsed() const {
    return static_cast<double>(MonotonicMicros() - started_at_) / 1e6;
  }

  bool InCrest() const {
    const double now = Elapsed();
    return now >= options_.crest_from && now < options_.crest_until;
  }

  void Schedule(const load_part& part) {
    if (Elapsed() >= options_.seconds) {
      return;
    }
    const double rate =
        part.per_second * (InCrest() ? options_.crest_factor : 1.0);
    std::exponential_distribution<double> gap(rate);
    auto timer = std::make_shared<asio::steady_timer>(
        context_, std::chrono::microseconds(
                      static_cast<std::int64_t>(gap(random_) * 1e6)));
    timer->async_wait([this, timer, &part](auto) {
      Send(part, Token(), 0, false);
      Schedule(part);
    });
  }

  std::string Token() {
    return "token-" + std::to_string(options_.seed) + "-" +
           std::to_string(++tokens_);
  }

  // Asks an entry for its health at an interval, as a balancer does.
  void CheckHealth(std::size_t entry) {
    constexpr millis kCheckTimeout = 1'000;
    constexpr std::uint64_t kBodyLimit = 1U << 16U;
    if (Elapsed() >= options_.seconds) {
      return;
    }
    http_call call;
    call.method = "GET";
    call.target = "/healthz";
    pools_[entry]->Call(call, kCheckTimeout, kBodyLimit,
                        [this, entry](result<http_response> answer) {
                          healthy_[entry] =
                              answer && answer.value().status == 200;
                        });
    constexpr std::chrono::milliseconds kCheckInterval(250);
    auto timer = std::make_shared<asio::steady_timer>(context_, kCheckInterval);
    timer->async_wait([this, entry, timer](auto) { CheckHealth(entry); });
  }

  // Picks an entry as a balancer would: in turn, leaving out failed ones.
  std::size_t PickEntry() {
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      const std::size_t index = next_entry_++ % pools_.size();
      if (healthy_[index] && MonotonicNow() >= failed_until_[index]) {
        return index;
      }
    }
    return next_entry_++ % pools_.size();
  }

  void Send(const load_part& part,
            const std::string& token,
            int tries,
            bool repeat) {
    const std::size_t entry = PickEntry();
    const std::int64_t sent_at = MonotonicMicros();
    const bool in_crest = InCrest();
    http_call call;
    call.target = "/v1/request/" + part.service;
    call.body = token + "|" + std::string(options_.body_bytes, 'x') + "|";
    call.content_type = "text/plain";
    if (part.keyed) {
      call.headers.push_back({"Idempotency-Key", token});
    }
    const std::string body = call.body;
    constexpr millis kTimeout = 30'000;
    pools_[entry]->Call(
        call, kTimeout, 64U << 20U,
        [=, this, &part](result<http_response> answer) {
          client_record record;
          record.token = token;
          record.key = part.keyed ? token : "";
          record.service = part.service;
          record.repeat = repeat;
          record.in_crest = in_crest;
          record.latency_ms =
              static_cast<double>(MonotonicMicros() - sent_at) / 1e3;
          if (!answer && answer.error().code == error_code::kUnavailable &&
              tries < 3) {
            failed_until_[entry] = MonotonicNow() + 1'000;
            Send(part, token, tries + 1, repeat);
            return;
          }
          const std::string outcome = Take(record, answer, body);
          if (part.keyed && !repeat && outcome != "answered") {
            Send(part, token, 0, true);  // The client's own retry.
          }
        });
  }

  // Records what the client was told, and returns the outcome.
  std::string Take(client_record record,
                   const result<http_response>& answer,
                   const std::string& body) {
    if (!answer) {
      record.outcome = answer.error().code == error_code::kUnavailable
                           ? "unreachable"
                           : "unknown";
    } else {
      record.outcome = HeaderOf(answer.value(), "X-Outcome");
      record.request_id = HeaderOf(answer.value(), "X-Request-Id");
      if (record.outcome != "answered") {
        record.reason = ReasonOf(answer.value());
      } else {
        const std::string& text = answer.value().body;
        record.whole =
            text.size() >= body.size() &&
            text.compare(text.size() - body.size(), body.size(), body) == 0;
      }
    }
    records_.push_back(record);
    return record.outcome;
  }

  asio::io_context& context_;
  const load_options options_;
  std::mt19937_64 random_;
  const std::int64_t started_at_;
  std::vector<std::shared_ptr<http_pool>> pools_;
  std::vector<millis> failed_until_;
  std::vector<bool> healthy_;
  std::size_t next_entry_ = 0;
  std::uint64_t tokens_ = 0;
  std::vector<client_record> records_;
};

double Percentile(std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void PrintLatencies(const std::vector<client_record>& records, bool crest) {
  std::map<std::string, std::vector<double>> latencies;
  std::map<std::string, std::map<std::string, int>> outcomes;
  for (const client_record& record : records) {
    if (record.in_crest == crest) {
      ++outcomes[record.service][record.outcome];
      if (record.outcome == "answered") {
        latencies[record.service].push_back(record.latency_ms);
      }
    }
  }
  for (auto& [service, counts] : outcomes) {
    std::vector<double>& sorted = latencies[service];
    std::sort(sorted.begin(), sorted.end());
    std::printf(
        "  %-10s %-8s %6zu answered, p50 %7.1f ms, p99 %7.1f ms;"
        " %d not run, %d unknown, %d unreachable\n",
        service.c_str(), crest ? "crest" : "steady", sorted.size(),
        Percentile(sorted, 0.5), Percentile(sorted, 0.99), counts["not-run"],
        counts["unknown"], counts["unreachable"]);
  }
}

// Prints the commonest reasons for requests without an answer, with figures
// replaced so that like reasons count together.
void PrintReasons(const std::vector<client_record>& records) {
  constexpr std::size_t kMost = 6;
  std::map<std::string, int> counts;
  for (const client_record& record : records) {
    if (record.outcome == "answered") {
      continue;
    }
    std::string reason;
    for (const char letter : record.reason) {
      const bool digit = std::isdigit(static_cast<unsigned char>(letter)) != 0;
      if (!digit) {
        reason += letter;
      } else if (reason.empty() || reason.back() != 'N') {
        reason += 'N';
      }
    }
    ++counts[record.outcome + ": " +
             (reason.empty() ? "the connection was lost" : reason)];
  }
  std::vector<std::pair<int, std::string>> sorted;
  sorted.reserve(counts.size());
  for (const auto& [reason, count] : counts) {
    sorted.emplace_back(count, reason);
  }
  std::sort(sorted.rbegin(), sorted.rend());
  for (std::size_t i = 0; i < sorted.size() && i < kMost; ++i) {
    std::printf("  %6d  %s\n", sorted[i].first, sorted[i].second.c_str());
  }
}

void WriteLedger(const std::string& path,
                 const std::vector<client_record>& records) {
  json::array list;
  for (const client_record& record : records) {
    list.push_back(json::object{{"token", record.token},
                                {"key", record.key},
                                {"service", record.service},
                                {"outcome", record.outcome},
                                {"request_id", record.request_id},
                                {"reason", record.reason},
                                {"whole", record.whole},
                                {"repeat", record.repeat},
                                {"latency_ms", record.latency_ms}});
  }
  std::ofstream(path) << json::serialize(
      json::object{{"requests", std::move(list)}});
}

bool ParsePart(const std::string& text, load_part& part) {
  std::stringstream stream(text);
  std::string rate;
  std::string mark;
  std::getline(stream, part.service, ':');
  std::getline(stream, rate, ':');
  std::getline(stream, mark, ':');
  part.per_second = std::strtod(rate.c_str(), nullptr);
  part.keyed = mark == "keyed";
  return part.per_second > 0;
}

int Run(const load_options& options) {
  asio::io_context context(1);
  client_load load(context, options);
  load.Start();
  context.run();
  PrintLatencies(load.Records(), false);
  if (options.crest_until > options.crest_from) {
    PrintLatencies(load.Records(), true);
  }
  PrintReasons(load.Records());
  if (!options.ledger.empty()) {
    WriteLedger(options.ledger, load.Records());
  }
  return 0;
}

}  // namespace

}  // namespace chervilkeel

int main(int argc, char** argv) {
  CLI::App app("Sends requests to entries and times them.");
  chervilkeel::load_options options;
  std::vector<std::string> entries;
  std::vector<std::string> parts;
  app.add_option("--entry", entries, "IP:PORT of entries")->required();
  app.add_option("--load", parts, "SERVICE:PER_SECOND[:keyed]")->required();
  app.add_option("--seconds", options.seconds, "How long");
  app.add_option("--crest-from", options.crest_from, "Seconds");
  app.add_option("--crest-until", options.crest_until, "Seconds");
  app.add_option("--crest-factor", options.crest_factor, "Times the rate");
  app.add_option("--body-bytes", options.body_bytes, "Of each request");
  app.add_option("--seed", options.seed, "Of the arrival times");
  app.add_option("--ledger", options.ledger, "File for the clients' ledger");
  CLI11_PARSE(app, argc, argv);
  options.entries.reserve(entries.size());
  for (const std::string& entry : entries) {
    chervilkeel::endpoint parsed;
    if (!chervilkeel::ParseEndpoint(entry, parsed)) {
      std::fprintf(stderr, "--entry %s is not IP:PORT\n", entry.c_str());
      return 2;
    }
    options.entries.push_back(parsed);
  }
  options.parts.reserve(parts.size());
  for (const std::string& part : parts) {
    chervilkeel::load_part parsed;
    if (!chervilkeel::ParsePart(part, parsed)) {
      std::fprintf(stderr, "--load %s is not SERVICE:PER_SECOND\n",
                   part.c_str());
      return 2;
    }
    options.parts.push_back(parsed);
  }
  return chervilkeel::Run(options);
}
