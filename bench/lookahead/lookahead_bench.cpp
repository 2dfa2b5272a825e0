// Compares ways to place tasks of mixed sizes: which of them lets large tasks
// wait least without keeping the small ones waiting. A small model of workers
// without a network, in virtual time; a seed always plays the same.
//
//   lookahead_bench [--seeds 8]
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "chervilkeel/room_reservations.h"

namespace chervilkeel::bench {

namespace {

constexpr millis kStep = 10;
constexpr millis kLength = 60'000;
constexpr millis kLookahead = 300;
constexpr std::int64_t kCores = 16'000;  // Of a worker, in thousandths.
constexpr std::size_t kImages = 12;

enum class placement_policy {
  kFirstFit,      // Any worker with room, the emptiest first.
  kEasy,          // One reservation at a time.
  kOneInSixteen,  // A sixteenth of the workers.
  kConservative,  // One for each task that waits, as far as there are workers.
  kPacking,       // First fit, beside runs that end at about the same time.
  kPackedEasy,    // Packing with the reservations of one in sixteen.
  kTightest,      // First fit, the fullest worker first.
  kOpenWorkers,   // First fit; one worker in sixteen takes large tasks only.
};

struct placement_policy_name {
  placement_policy policy;
  const char* name;
};

constexpr placement_policy_name kPolicyNames[] = {
    {placement_policy::kFirstFit, "first fit"},
    {placement_policy::kEasy, "easy"},
    {placement_policy::kOneInSixteen, "one in sixteen"},
    {placement_policy::kConservative, "conservative"},
    {placement_policy::kPacking, "packing"},
    {placement_policy::kPackedEasy, "packing and 1/16"},
    {placement_policy::kTightest, "tightest fit"},
    {placement_policy::kOpenWorkers, "open workers"},
};

struct load_scenario {
  const char* name;
  std::size_t workers;
  double load;         // Of all cores, on average.
  double large_tasks;  // Share of the jobs.
  double burst;        // Times the load, from 20 to 30 s.
};

constexpr load_scenario kScenarios[] = {
    {"steady", 32, 0.85, 0.1, 1.0},     {"full", 32, 0.97, 0.1, 1.0},
    {"burst", 48, 0.8, 0.1, 1.6},       {"many_large", 48, 0.9, 0.3, 1.0},
    {"small_fleet", 11, 0.9, 0.1, 1.0},
};

struct load_figures {
  double small_mean = 0;  // Waits in ms: of the smaller half,
  double small_p90 = 0;
  double large_mean = 0;  // of the largest tenth,
  double large_p90 = 0;
  double p99 = 0;  // of all.
  double utilization = 0;
};

struct waiting_task {
  task_name name;
  std::int64_t milli = 0;
  millis came = 0;
  millis estimate = 0;
  millis duration = 0;
  std::string image;
};

class load_world {
 public:
  load_world(const load_scenario& scenario,
             placement_policy policy,
             std::uint64_t seed)
      : scenario_(scenario),
        policy_(policy),
        random_(seed),
        workers_(scenario.workers) {
    for (std::size_t i = 0; i < kImages; ++i) {
      biases_.push_back(Uniform(0.3, 1.9));
    }
  }

  load_figures Play() {
    double busy = 0;
    for (; now_ < kLength; now_ += kStep) {
      EndRuns();
      while (next_job_ <= now_) {
        AddJob();
      }
      Place();
      for (const auto& worker : workers_) {
        busy += static_cast<double>(Used(worker));
      }
    }
    load_figures figures = Waits();
    figures.utilization = busy * kStep / kLength / static_cast<double>(kCores) /
                          static_cast<double>(workers_.size());
    return figures;
  }

 private:
  struct run {
    waiting_task task;
    millis began = 0;
  };
  using runs = std::vector<run>;

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }

  static std::int64_t Used(const runs& worker) {
    std::int64_t used = 0;
    for (const run& entry : worker) {
      used += entry.task.milli;
    }
    return used;
  }

  static task_need NeedOf(const waiting_task& task) {
    return {{{task.milli, 0, 0}, 0}, false};
  }

  // Jobs of equal tasks. The estimates of an image are off by the same factor,
  // and each task by more.
  void AddJob() {
    const bool is_large = Uniform(0, 1) < scenario_.large_tasks;
    const auto tasks =
        static_cast<std::uint32_t>(is_large ? Uniform(1, 5) : Uniform(1, 16));
    waiting_task task;
    task.milli = static_cast<std::int64_t>(is_large ? Uniform(6'000, 14'000)
                                                    : Uniform(500, 3'000));
    task.came = now_;
    const std::size_t image = random_() % kImages;
    task.image = std::to_string(image);
    const double typical =
        std::lognormal_distribution<double>(7.0, 0.6)(random_);
    task.estimate = static_cast<millis>(typical / biases_[image]);
    task.name.job = std::to_string(jobs_++);
    for (std::uint32_t i = 0; i < tasks; ++i) {
      task.name.index = i;
      task.duration = static_cast<millis>(typical * Uniform(0.7, 1.3));
      waiting_.push_back(task);
    }
    // The mean of a job's work: cores times tasks times ms of both kinds.
    const double mean = 1'313 * (scenario_.large_tasks * 10'000 * 2.5 +
                                 (1 - scenario_.large_tasks) * 1'750 * 8);
    const bool in_burst = now_ >= 20'000 && now_ < 30'000;
    const double rate = scenario_.load * (in_burst ? scenario_.burst : 1) *
                        static_cast<double>(kCores) *
                        static_cast<double>(workers_.size()) / mean;
    next_job_ += static_cast<millis>(
        std::exponential_distribution<double>(rate)(random_));
  }

  void EndRuns() {
    for (auto& worker : workers_) {
      std::erase_if(worker, [&](const run& entry) {
        const bool is_over = now_ >= entry.began + entry.task.duration;
        if (is_over) {
          durations_.Learn(entry.task.image, entry.task.estimate,
                           entry.task.duration);
        }
        return is_over;
      });
    }
  }

  millis ExpectedEnd(const run& entry) const {
    const millis worked = now_ - entry.began;
    const auto percent =
        static_cast<std::uint32_t>(100 * worked / entry.task.duration);
    return durations_.ExpectedEnd(
        entry.task.image,
        {entry.task.estimate, entry.began, 0, percent, now_, 100, true});
  }

  room_timeline TimelineOf(const runs& worker) const {
    room_timeline timeline({{kCores - Used(worker), 0, 0}, 0}, now_);
    for (const run& entry : worker) {
      timeline.AddEnd(ExpectedEnd(entry), NeedOf(entry.task).use);
    }
    return timeline;
  }

  bool UsesReservations() const {
    return policy_ == placement_policy::kEasy ||
           policy_ == placement_policy::kOneInSixteen ||
           policy_ == placement_policy::kPackedEasy ||
           policy_ == placement_policy::kConservative;
  }

  // The number of workers by which room_reservations bounds itself.
  std::size_t CountedWorkers() const {
    return policy_ == placement_policy::kEasy           ? 16
           : policy_ == placement_policy::kConservative ? 16 * workers_.size()
                                                        : workers_.size();
  }

  void UpdateReservations() {
    std::map<std::string, room_reservation> all = reservations_.ByWorker();
    for (const auto& [name, reservation] : all) {
      const auto timeline = TimelineOf(workers_[std::stoul(name)]);
      const auto expected = timeline.FirstFit(reservation.need);
      if (!expected || now_ >= reservation.until || !IsWaiting(reservation)) {
        reservations_.End(reservation.task.Step(),
                          now_ >= reservation.until
                              ? reservation_end::kExpired
                              : reservation_end::kStartedElsewhere,
                          now_);
        continue;
      }
      worker_room spare = timeline.RoomAt(*expected);
      spare -= reservation.need.use;
      reservations_.Update(name, *expected, spare);
    }
  }

  bool IsWaiting(const room_reservation& reservation) const {
    return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& task) {
      return task.name == reservation.task;
    });
  }

  // The worker for a task, or their number.
  std::size_t Choose(const waiting_task& task) const {
    std::size_t best = workers_.size();
    double best_score = 0;
    const millis end = now_ + durations_.Longest(task.image, task.estimate);
    const std::size_t open =
        policy_ == placement_policy::kOpenWorkers
            ? std::max<std::size_t>(workers_.size() / 16, 1)
            : 0;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const std::int64_t free = kCores - Used(workers_[i]);
      if (free < task.milli ||
          (i < open && !reservations_.IsLarge("", {task.milli, 0, 0})) ||
          reservations_.Delays(std::to_string(i), task.name.Step(), 1,
                               NeedOf(task), end)) {
        continue;
      }
      double score = static_cast<double>(free);
      if (policy_ == placement_policy::kTightest) {
        score = -score;
      }
      if (policy_ == placement_policy::kPacking ||
          policy_ == placement_policy::kPackedEasy) {
        score = 0;
        for (const run& entry : workers_[i]) {
          score -= std::abs(static_cast<double>(ExpectedEnd(entry) - end)) /
                   static_cast<double>(workers_[i].size());
        }
      }
      if (best == workers_.size() || score > best_score) {
        best = i;
        best_score = score;
      }
    }
    return best;
  }

  void Place() {
    if (UsesReservations()) {
      UpdateReservations();
    }
    std::set<step_name> blocked;
    std::erase_if(waiting_, [&](const waiting_task& task) {
      if (blocked.count(task.name.Step()) != 0) {
        return false;
      }
      const std::size_t worker = Choose(task);
      if (worker == workers_.size()) {
        blocked.insert(task.name.Step());
        Reserve(task);
        return false;
      }
      reservations_.NoteSize("", {task.milli, 0, 0}, {kCores, 0, 0});
      reservations_.NoteStart(
          task.name, std::to_string(worker), NeedOf(task),
          now_ + durations_.Longest(task.image, task.estimate));
      workers_[worker].push_back({task, now_});
      waits_.push_back({task.milli, now_ - task.came});
      return true;
    });
  }

  void Reserve(const waiting_task& task) {
    if (!UsesReservations() || now_ - task.came < kLookahead ||
        !reservations_.IsLarge("", {task.milli, 0, 0}) ||
        !reservations_.MaySearch(task.name.Step(), now_)) {
      return;
    }
    std::vector<room_offer> offers;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      const auto timeline = TimelineOf(workers_[i]);
      const auto expected = timeline.FirstFit(NeedOf(task));
      if (expected) {
        worker_room spare = timeline.RoomAt(*expected);
        spare -= NeedOf(task).use;
        offers.push_back({std::to_string(i), {}, *expected, spare});
      }
    }
    room_reservation request;
    request.task = task.name;
    request.priority = 1;
    request.need = NeedOf(task);
    reservations_.Reserve(request, std::move(offers), 1, CountedWorkers(),
                          now_);
  }

  load_figures Waits() {
    // A task that still waits has waited at least until now.
    for (const waiting_task& task : waiting_) {
      waits_.push_back({task.milli, now_ - task.came});
    }
    std::sort(waits_.begin(), waits_.end());
    const auto half = waits_.begin() + std::ssize(waits_) / 2;
    const auto tenth = waits_.end() - std::ssize(waits_) / 10;
    const auto figures = [](auto first, auto last, double part) {
      std::vector<millis> waits;
      double sum = 0;
      for (; first != last; ++first) {
        waits.push_back(first->second);
        sum += static_cast<double>(first->second);
      }
      std::sort(waits.begin(), waits.end());
      const auto count = static_cast<double>(waits.size());
      return std::pair(
          sum / count,
          static_cast<double>(waits[static_cast<std::size_t>(part * count)]));
    };
    load_figures all;
    std::tie(all.small_mean, all.small_p90) =
        figures(waits_.begin(), half, 0.9);
    std::tie(all.large_mean, all.large_p90) = figures(tenth, waits_.end(), 0.9);
    all.p99 = figures(waits_.begin(), waits_.end(), 0.99).second;
    return all;
  }

  load_scenario scenario_;
  placement_policy policy_;
  std::mt19937_64 random_;
  std::vector<runs> workers_;
  std::vector<double> biases_;  // By image: actual over estimated duration.
  std::deque<waiting_task> waiting_;
  std::vector<std::pair<std::int64_t, millis>> waits_;
  duration_model durations_;
  room_reservations reservations_;
  millis now_ = 0;
  millis next_job_ = 0;
  std::size_t jobs_ = 0;
};

}  // namespace

}  // namespace chervilkeel::bench

int main(int argc, char** argv) {
  using namespace chervilkeel::bench;
  CLI::App app("Compares ways to place tasks of mixed sizes.");
  std::uint64_t seeds = 8;
  app.add_option("--seeds", seeds, "Seeds to play, from 1.");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-12s %-16s %10s %9s %10s %9s %7s %5s\n", "scenario", "policy",
              "small_mean", "small_p90", "large_mean", "large_p90", "p99",
              "used");
  for (const load_scenario& scenario : kScenarios) {
    for (const auto& [policy, name] : kPolicyNames) {
      load_figures mean;
      const double part = 1.0 / static_cast<double>(seeds);
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const load_figures one = load_world(scenario, policy, seed).Play();
        mean.small_mean += part * one.small_mean;
        mean.small_p90 += part * one.small_p90;
        mean.large_mean += part * one.large_mean;
        mean.large_p90 += part * one.large_p90;
        mean.p99 += part * one.p99;
        mean.utilization += part * one.utilization;
      }
      std::printf("%-12s %-16s %10.0f %9.0f %10.0f %9.0f %7.0f %5.3f\n",
                  scenario.name, name, mean.small_mean, mean.small_p90,
                  mean.large_mean, mean.large_p90, mean.p99, mean.utilization);
    }
  }
  return 0;
}
