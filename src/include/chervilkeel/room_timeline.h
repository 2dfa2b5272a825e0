// When capacity of a worker is expected to become free. Expected ends of runs
// come from the submitters' estimates, corrected by what was learned of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilkeel/amount.h"
#include "chervilkeel/clock.h"

namespace chervilkeel {

// The free capacity of a worker, or a part of it. Best-effort tasks use
// processors that services reserve but leave idle, so these are counted apart.
struct worker_room {
  amount free;
  std::int64_t best_effort_milli_processors = 0;

  worker_room& operator+=(const worker_room& other);
  worker_room& operator-=(const worker_room& other);
  bool operator==(const worker_room&) const = default;
};

// What a task takes of a worker's room while it runs.
struct task_need {
  worker_room use;
  bool is_best_effort = false;

  // The need of so many such tasks together.
  task_need Times(std::uint32_t tasks) const;
};

// Returns whether the task may start in that room.
bool HasRoom(const task_need& need, const worker_room& room);

// The room of one worker now and after each expected end.
class room_timeline {
 public:
  room_timeline(const worker_room& room, millis now);

  // Adds a run that ends about then. An end that should have come already is
  // expected to be as late again as it is now.
  void AddEnd(millis expected, const worker_room& freed);

  // Returns when the task will have room, or nothing if the expected ends don't
  // free enough.
  std::optional<millis> FirstFit(const task_need& need) const;

  worker_room RoomAt(millis at) const;

 private:
  struct expected_end {
    millis at = 0;
    worker_room freed;
  };

  worker_room room_;
  millis now_;
  std::vector<expected_end> ends_;
};

// A run, as far as its end can be told from it.
struct run_progress {
  millis estimate = 0;        // The submitter's, at full speed.
  millis began_at = 0;        // By estimate.
  millis throttled = 0;       // Working time lost to lower paces.
  std::uint32_t percent = 0;  // As last reported.
  millis percent_at = 0;      // When it last changed.
  std::uint32_t pace = 100;   // Percent of full speed.
  // Whether the run began with its task, not at a checkpoint: the time since
  // then and the percentage then tell the speed.
  bool began_anew = false;
};

// Learns how long runs take in proportion to their estimates, by group: the
// tasks of one image, or of one queue where tasks have no image.
class duration_model {
 public:
  // Takes note of a run that is done, and of how far its expected duration was
  // off.
  void Learn(const std::string& group, millis estimate, millis took);

  // Returns the expected duration at full speed.
  millis Expected(const std::string& group, millis estimate) const;

  // Returns a duration that about five of six runs do not exceed.
  millis Longest(const std::string& group, millis estimate) const;

  // Returns when a run is expected to end. That may have passed.
  millis ExpectedEnd(const std::string& group, const run_progress& run) const;

  // Returns the mean error of the expected durations of late, as a fraction of
  // the actual ones.
  double MeanError() const { return mean_error_; }

 private:
  // Of the logarithm of the actual duration over the estimate.
  struct ratio {
    double mean = 0;
    double variance = 0;
    double runs = 0;
  };

  ratio RatioOf(const std::string& group) const;

  std::map<std::string, ratio> ratios_;
  double mean_error_ = 0;
  std::uint64_t errors_ = 0;
};

}  // namespace chervilkeel
