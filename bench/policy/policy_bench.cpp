// Plays one cell of a house under several policies on the same seeds, and
// holds the kernel's figures against the stated targets.
//
//   policy_bench --house tesfaye [--seeds 10] [--csv FILE]
//
// Exit codes: 0 every target is met, 1 some target is missed, 2 bad arguments.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

#include "cell_run.h"

namespace chervilkeel::bench {

namespace {

constexpr int kExitMissed = 1;
constexpr int kExitBadInput = 2;

// The runs of one policy, one for each seed.
struct policy_runs {
  policy_kind kind = policy_kind::kChervilkeel;
  std::vector<run_figures> runs;
};

struct median_and_worst {
  double median = 0;
  double worst = 0;
};

// How a figure is judged.
enum class bound_kind { kAtMost, kAtLeast };

struct target {
  const char* name;
  bound_kind kind;
  double bound;
  std::vector<double> values;  // One for each seed.
};

median_and_worst Summarise(std::vector<double> values, bound_kind kind) {
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2],
          kind == bound_kind::kAtMost ? values.back() : values.front()};
}

bool Meets(double value, const target& entry) {
  return entry.kind == bound_kind::kAtMost ? value <= entry.bound
                                           : value >= entry.bound;
}

std::vector<policy_runs> PlayAll(const house_scenario& house,
                                 std::uint64_t seeds) {
  std::vector<policy_runs> all;
  all.reserve(kPolicyNames.size());
  for (const policy_name& entry : kPolicyNames) {
    all.push_back({entry.kind, std::vector<run_figures>(seeds)});
  }
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < all.size() * seeds; i = next++) {
      policy_runs& policy = all[i / seeds];
      const std::uint64_t seed = i % seeds + 1;
      policy.runs[seed - 1] = cell_run(house, policy.kind, seed).Run();
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::thread::hardware_concurrency(); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return all;
}

const std::vector<run_figures>& RunsOf(const std::vector<policy_runs>& all,
                                       policy_kind kind) {
  return std::find_if(
             all.begin(), all.end(),
             [&](const policy_runs& runs) { return runs.kind == kind; })
      ->runs;
}

template <class figure_type>
double Median(const std::vector<run_figures>& runs, figure_type figure) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const run_figures& run : runs) {
    values.push_back(static_cast<double>(figure(run)));
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void PrintPolicies(const std::vector<policy_runs>& all) {
  std::printf("  %-18s %9s %9s %9s %9s %8s %9s %8s %7s %9s\n", "policy",
              "crest p50", "crest p99", "calm p99", "wait p99", "refused",
              "batch p-s", "evicted", "slowed", "over size");
  for (const policy_runs& policy : all) {
    const auto& runs = policy.runs;
    std::printf(
        "  %-18s %9.1f %9.1f %9.1f %9.2f %8.0f %9.0f %8.0f %7.2f %9.0f\n",
        NameOf(policy.kind),
        Median(runs, [](const auto& run) { return run.crest_p50_ms; }),
        Median(runs, [](const auto& run) { return run.crest_p99_ms; }),
        Median(runs, [](const auto& run) { return run.steady_p99_ms; }),
        Median(runs, [](const auto& run) { return run.wait_p99_ms; }),
        Median(runs, [](const auto& run) { return run.refused; }),
        Median(runs,
               [](const auto& run) { return run.batch_processor_seconds; }),
        Median(runs, [](const auto& run) { return run.evictions; }),
        Median(runs, [](const auto& run) { return run.mean_slowdown; }),
        Median(runs, [](const auto& run) { return run.over_size; }));
  }
}

std::vector<target> MakeTargets(const house_scenario& house,
                                const std::vector<policy_runs>& all) {
  const bool tail = house.lean == policy_lean::kTail;
  const auto& ours = RunsOf(all, policy_kind::kChervilkeel);
  const auto& alone = RunsOf(all, policy_kind::kNoBatch);
  const auto& batch = RunsOf(all, policy_kind::kBatchOnly);
  const auto& split = RunsOf(all, policy_kind::kStaticSplit);
  const auto& fifo = RunsOf(all, policy_kind::kFifo);
  std::vector<target> targets = {
      {"crest p99 / p99 without batch work",
       bound_kind::kAtMost,
       tail ? 1.15 : 1.3,
       {}},
      {"batch / what requests leave of the machines",
       bound_kind::kAtLeast,
       0.85,
       {}},
      {"batch / batch of the static split", bound_kind::kAtLeast, 1.4, {}},
      {"crest p99 / p99 of the static split", bound_kind::kAtMost, 1.0, {}},
      {"short wait p99 / wait p99 of one FIFO", bound_kind::kAtMost, 0.1, {}},
      {"instants with a worker over its size", bound_kind::kAtMost, 0, {}},
  };
  if (!tail) {
    targets.push_back(
        {"evictions in 200 task-hours", bound_kind::kAtMost, 1, {}});
  }
  constexpr double kTargetHours = 200;
  for (std::size_t i = 0; i < ours.size(); ++i) {
    targets[0].values.push_back(ours[i].crest_p99_ms / alone[i].crest_p99_ms);
    targets[1].values.push_back(
        ours[i].batch_processor_seconds /
        (batch[i].batch_processor_seconds - ours[i].request_processor_seconds));
    targets[2].values.push_back(ours[i].batch_processor_seconds /
                                split[i].batch_processor_seconds);
    targets[3].values.push_back(ours[i].crest_p99_ms / split[i].crest_p99_ms);
    targets[4].values.push_back(ours[i].wait_p99_ms / fifo[i].wait_p99_ms);
    targets[5].values.push_back(static_cast<double>(ours[i].over_size));
    if (!tail) {
      targets[6].values.push_back(static_cast<double>(ours[i].evictions) *
                                  kTargetHours / ours[i].task_hours);
    }
  }
  return targets;
}

// Prints each target with its verdict; returns whether all are met.
bool PrintTargets(const std::vector<target>& targets) {
  bool met = true;
  for (const target& entry : targets) {
    const median_and_worst figures = Summarise(entry.values, entry.kind);
    const bool median_meets = Meets(figures.median, entry);
    const bool worst_meets = Meets(figures.worst, entry);
    met = met && worst_meets;
    std::printf("  %-45s %s %-5g median %7.3f, worst %7.3f  %s\n", entry.name,
                entry.kind == bound_kind::kAtMost ? "<=" : ">=", entry.bound,
                figures.median, figures.worst,
                worst_meets    ? "met"
                : median_meets ? "MISSED by the worst seed"
                               : "MISSED");
  }
  return met;
}

void WriteSeconds(const std::string& path,
                  const std::vector<policy_runs>& all) {
  std::ofstream file(path);
  const auto& ours = RunsOf(all, policy_kind::kChervilkeel).front().seconds;
  const auto& alone = RunsOf(all, policy_kind::kNoBatch).front().seconds;
  const auto& loose = RunsOf(all, policy_kind::kNoControl).front().seconds;
  file << "second,demand,slowest_ms,alone_ms,no_control_ms,"
          "batch_processors\n";
  for (std::size_t i = 0; i < ours.size(); ++i) {
    file << i << ',' << DemandFactor(static_cast<double>(i)) << ','
         << ours[i].slowest_ms << ',' << alone[i].slowest_ms << ','
         << loose[i].slowest_ms << ',' << ours[i].batch_processors << '\n';
  }
}

int Run(const std::string& name, std::uint64_t seeds, const std::string& csv) {
  house_scenario house;
  for (const house_scenario& known : {Tesfaye(), Kruszwica()}) {
    if (known.name == name) {
      house = known;
    }
  }
  if (house.name.empty()) {
    std::fprintf(stderr, "--house %s: there are tesfaye and kruszwica\n",
                 name.c_str());
    return kExitBadInput;
  }
  const std::vector<policy_runs> all = PlayAll(house, seeds);
  std::printf("%s, %llu seeds, medians; ms, processor-seconds\n", name.c_str(),
              static_cast<unsigned long long>(seeds));
  PrintPolicies(all);
  if (!csv.empty()) {
    WriteSeconds(csv, all);
  }
  return PrintTargets(MakeTargets(house, all)) ? 0 : kExitMissed;
}

}  // namespace

}  // namespace chervilkeel::bench

int main(int argc, char** argv) {
  CLI::App app("Measures the policy against simpler ones in virtual time.");
  std::string house = "tesfaye";
  std::uint64_t seeds = 10;
  std::string csv;
  app.add_option("--house", house, "tesfaye or kruszwica");
  app.add_option("--seeds", seeds, "Runs of each policy")
      ->check(CLI::Range(1, 1'000));
  app.add_option("--csv", csv, "Writes the first seed second by second");
  CLI11_PARSE(app, argc, argv);
  return chervilkeel::bench::Run(house, seeds, csv);
}
