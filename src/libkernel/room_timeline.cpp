#include "chervilkeel/room_timeline.h"

#include <algorithm>
#include <cmath>

namespace chervilkeel {

namespace {

// An overdue end is expected in this time at the earliest: the owner learns of
// an end by a report.
constexpr millis kLeastDelayOfOverdueEnd = 50;

// Before any run has ended, the standard deviation of the logarithm of the
// actual duration over the estimate. Estimates are off by up to 90%.
constexpr double kInitialSpread = 0.5;

// A group's ratio follows its last runs with this weight, so that it follows a
// change of the workload within some tens of runs.
constexpr double kLeastWeight = 0.05;

// The prior counts as this many runs.
constexpr double kPriorRuns = 2;

// Images are named by submitters; groups beyond this number are not learned.
constexpr std::size_t kMaxGroups = 2'000;

// Below this percentage the progress tells little of the speed.
constexpr std::uint32_t kLeastPercent = 10;

}  // namespace

worker_room& worker_room::operator+=(const worker_room& other) {
  free += other.free;
  best_effort_milli_processors += other.best_effort_milli_processors;
  return *this;
}

worker_room& worker_room::operator-=(const worker_room& other) {
  free -= other.free;
  best_effort_milli_processors -= other.best_effort_milli_processors;
  return *this;
}

task_need task_need::Times(std::uint32_t tasks) const {
  task_need all = *this;
  for (std::int64_t* part :
       {&all.use.free.milli_processors, &all.use.free.memory_mb,
        &all.use.free.accelerators, &all.use.best_effort_milli_processors}) {
    *part *= tasks;
  }
  return all;
}

bool HasRoom(const task_need& need, const worker_room& room) {
  return Fits(need.use.free, room.free) &&
         (!need.is_best_effort || need.use.best_effort_milli_processors <=
                                      room.best_effort_milli_processors);
}

room_timeline::room_timeline(const worker_room& room, millis now)
    : room_(room), now_(now) {}

void room_timeline::AddEnd(millis expected, const worker_room& freed) {
  if (expected <= now_) {
    expected = now_ + std::max(now_ - expected, kLeastDelayOfOverdueEnd);
  }
  const auto later = std::upper_bound(
      ends_.begin(), ends_.end(), expected,
      [](millis at, const expected_end& end) { return at < end.at; });
  ends_.insert(later, {expected, freed});
}

std::optional<millis> room_timeline::FirstFit(const task_need& need) const {
  worker_room room = room_;
  if (HasRoom(need, room)) {
    return now_;
  }
  for (const expected_end& end : ends_) {
    room += end.freed;
    if (HasRoom(need, room)) {
      return end.at;
    }
  }
  return std::nullopt;
}

worker_room room_timeline::RoomAt(millis at) const {
  worker_room room = room_;
  for (const expected_end& end : ends_) {
    if (end.at <= at) {
      room += end.freed;
    }
  }
  return room;
}

duration_model::ratio duration_model::RatioOf(const std::string& group) const {
  const auto found = ratios_.find(group);
  return found == ratios_.end() ? ratio{0, kInitialSpread * kInitialSpread, 0}
                                : found->second;
}

void duration_model::Learn(const std::string& group,
                           millis estimate,
                           millis took) {
  if (estimate <= 0 || took <= 0) {
    return;
  }
  const double error =
      std::abs(static_cast<double>(Expected(group, estimate) - took)) /
      static_cast<double>(took);
  ++errors_;
  mean_error_ += (error - mean_error_) *
                 std::max(1.0 / static_cast<double>(errors_), kLeastWeight);
  if (ratios_.size() >= kMaxGroups && ratios_.count(group) == 0) {
    return;
  }
  ratio learned = RatioOf(group);
  learned.runs += 1;
  const double weight =
      std::max(1.0 / (kPriorRuns + learned.runs), kLeastWeight);
  const double offset =
      std::log(static_cast<double>(took) / static_cast<double>(estimate)) -
      learned.mean;
  learned.mean += weight * offset;
  learned.variance =
      (1 - weight) * (learned.variance + weight * offset * offset);
  ratios_[group] = learned;
}

millis duration_model::Expected(const std::string& group,
                                millis estimate) const {
  return static_cast<millis>(static_cast<double>(estimate) *
                             std::exp(RatioOf(group).mean));
}

millis duration_model::Longest(const std::string& group,
                               millis estimate) const {
  const ratio known = RatioOf(group);
  return static_cast<millis>(static_cast<double>(estimate) *
                             std::exp(known.mean + std::sqrt(known.variance)));
}

millis duration_model::ExpectedEnd(const std::string& group,
                                   const run_progress& run) const {
  const auto pace = static_cast<double>(std::clamp(run.pace, 1U, 100U)) / 100;
  const auto expected = static_cast<double>(Expected(group, run.estimate));
  const auto later = [](millis begin, double duration) {
    return begin + static_cast<millis>(duration);
  };
  if (run.percent == 0) {
    const double lost = static_cast<double>(run.throttled);
    return later(run.began_at, lost + expected / pace);
  }
  const double done = static_cast<double>(std::min(run.percent, 100U)) / 100;
  double whole = expected;
  if (run.began_anew && run.percent >= kLeastPercent) {
    // The later in the run, the more its own speed counts.
    const double worked = static_cast<double>(
        std::max<millis>(run.percent_at - run.began_at - run.throttled, 0));
    whole = (1 - done) * expected + done * (worked / done);
  }
  return later(run.percent_at, (1 - done) * whole / pace);
}

}  // namespace chervilkeel
