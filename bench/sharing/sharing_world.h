// A small world without network in which the real scheduler shares workers
// between services and batch tasks: services whose own load swings, batch
// tasks that press on them by factors that the scheduler isn't told, tails that
// come smoothed, rounded and late. Virtual time; a seed always plays the same.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel::bench {

// Who decides on the paces of batch tasks.
enum class sharing_policy {
  kChervilkeel,
  kNoPacing,    // Batch tasks always work at full speed.
  kNoLearning,  // Each pair of images is taken for an average one.
  // Knows the factor of each pair from the start: what better learning could
  // gain at most.
  kKnownFactors,
  kFifo,  // Jobs of one priority go in the order in which they came.
  // Isn't told the times of a stop, a restore and a checkpoint.
  kUnknownMoveTimes,
  kLookahead,  // Reserves workers for large tasks that wait.
};

struct sharing_policy_name {
  sharing_policy policy;
  const char* name;
};

inline constexpr sharing_policy_name kSharingPolicyNames[] = {
    {sharing_policy::kChervilkeel, "chervilkeel"},
    {sharing_policy::kNoPacing, "no pacing"},
    {sharing_policy::kNoLearning, "no learning"},
    {sharing_policy::kKnownFactors, "known pairs"},
    {sharing_policy::kFifo, "one FIFO"},
    {sharing_policy::kUnknownMoveTimes, "fixed cost"},
    {sharing_policy::kLookahead, "lookahead"},
};

// Rates are a second, sizes in thousandths of a core.
struct sharing_scenario {
  const char* name = "";
  std::uint32_t workers = 11;
  std::int64_t worker_milli = 16'000;
  std::uint32_t service_jobs = 9;
  std::uint32_t tasks_per_service = 6;
  std::int64_t service_milli = 3'200;
  std::uint32_t service_images = 5;
  std::uint32_t batch_images = 9;
  double batch_jobs_a_second = 0.83;
  double batch_width = 8;
  std::int64_t batch_milli = 1'800;
  millis batch_task = 2'300;
  // An estimate is up to this fraction off, and a task's work up to this many
  // times the typical one of its step.
  double estimate_error = 0.2;
  double straggler = 1;
  double stragglers = 0;  // Share of the tasks that are.
  // Share of the batch jobs whose tasks are four times as large.
  double large_jobs = 0;
  double heavy_pairs = 0.4;  // Share of the pairs that press at all.
  millis burst_from = 0;     // Batch jobs come `burst` times as often.
  millis burst_until = 0;
  double burst = 1;
  millis longest_stop = 0;         // A stop takes from a fifth of it on.
  millis restore = 0;              // From a start until the work goes on.
  millis checkpoint_interval = 0;  // 0: a stop loses no work.
  millis length = 60'000;
};

// What the users saw, from 0 to 1 of what could have been earned.
struct sharing_figures {
  double batch = 0;     // Jobs in time count whole, late ones a little.
  double services = 0;  // Time over the target counts four times.
  double over_seconds = 0;
  millis longest_over = 0;  // Of one service task on end.
  double batch_cores = 0;   // Mean.
  std::uint64_t batch_stops = 0;
  // Waits of batch tasks, 90th percentile, ms: of large jobs and of the others.
  double large_wait = 0;
  double small_wait = 0;
};

class sharing_world {
 public:
  sharing_world(const sharing_scenario& scenario,
                sharing_policy policy,
                std::uint64_t seed);

  sharing_figures Play();

 private:
  struct running_task {
    std::uint64_t run = 0;
    const job_step* step = nullptr;
    double left = 0;   // ms of work.
    double whole = 0;  // ms of work.
    double saved = 0;  // What was left at the last checkpoint, ms of work.
    millis works_from = 0;
    millis stops_at = 0;  // 0: not ordered to stop.
    double pace = 1;
    double tail = 4;  // ms, smoothed.
    millis over = 0;  // On end.
    millis since = 0;
  };

  struct late_order {
    millis due = 0;
    worker_order order;
  };

  struct fake_worker {
    std::string agent;
    std::int64_t milli = 0;
    std::map<task_name, running_task> runs;
    std::vector<late_order> orders;
    std::vector<ended_run> ends;
    std::uint64_t last_end = 0;
    std::uint64_t acked = 0;
    millis next_report = 0;
    bool has_news = false;
  };

  struct batch_job {
    millis arrived = 0;
    double objective = 0;  // ms.
    double worth = 0;
    bool ended = false;
  };

  double Uniform(double low, double high);
  double LogNormal(double mean, double spread);
  void RevealFactors();
  void AddService(std::uint32_t number);
  void AddBatchJob();
  double OwnLoad(const std::string& job) const;
  double MeanFactor(const std::string& service, const std::string& batch);
  double Factor(const std::string& service, const std::string& batch);
  void Work(fake_worker& worker);
  void WorkOn(fake_worker& worker, double batch_speed);
  void Serve(fake_worker& worker);
  // Ends the runs whose stops have taken their time.
  void FinishStops(fake_worker& worker);
  void Carry(fake_worker& worker, const worker_order& order);
  void End(fake_worker& worker, const task_name& task, run_end how);
  void Report(fake_worker& worker);
  void TakeOrders(fake_worker& worker);
  void NoteEndedJobs();
  // The 90th percentile of the waits of large or other batch tasks. Tasks that
  // still wait are left out.
  double WaitOf(bool is_large) const;

  sharing_scenario scenario_;
  sharing_policy policy_;
  std::mt19937_64 random_;
  job_scheduler scheduler_;
  millis now_ = 1'000;
  std::vector<fake_worker> workers_;
  std::map<std::string, batch_job> batch_jobs_;
  std::map<std::string, double> phases_;  // By service job.
  std::map<task_name, double> work_;      // ms, by batch task.
  std::map<std::pair<std::string, std::string>, double> factors_;
  std::uint32_t jobs_ = 0;
  double service_ms_ = 0;
  double over_ms_ = 0;
  double batch_core_ms_ = 0;
  std::set<std::string> large_jobs_;
  std::vector<std::pair<std::string, double>> waits_;  // Of a job's tasks, ms.
  sharing_figures figures_;
};

}  // namespace chervilkeel::bench
