// What executors have seen of runs, and the judgement of it.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "chervilkeel/clock.h"

namespace chervilkeel::soak {

// Writes lines with the time since the start.
class record {
 public:
  ~record();
  bool Open(const std::string& path);
  void Line(const std::string& text);
  // Also to standard output.
  void Say(const std::string& text);
  millis Now() const { return MonotonicNow() - started_; }

 private:
  std::FILE* file_ = nullptr;
  const millis started_ = MonotonicNow();
};

// The rule EVAC: an agent starts nothing in a data centre later than this after
// the store took the request to evacuate it. The time for which the store
// answers no entry is added, up to a limit.
inline constexpr millis kEvacuationBound = 5'000;
inline constexpr millis kLongestStretch = 6'000;

// One run at one executor. Times are those of the record.
struct seen_run {
  std::string task;
  std::uint64_t run = 0;
  std::uint64_t epoch = 0;  // The token of the order.
  std::size_t executor = 0;
  std::string data_centre;
  millis started = 0;
  millis ended = -1;  // -1: not yet.
  std::string how;
  millis noted = -1;    // When its end was taken note of.
  bool lapsed = false;  // The executor's lease ended between end and note.
};

enum class finding_kind { kTwoAtOnce, kStartAfterDone };

struct finding_kind_name {
  finding_kind kind;
  const char* name;
};

inline constexpr finding_kind_name kFindingKindNames[] = {
    {finding_kind::kTwoAtOnce, "two runs at once"},
    {finding_kind::kStartAfterDone, "start after a noted end"},
};

// Keeps all runs, and judges the rules TWICE and EVAC. An end that is noted
// after the executor's lease has ended in between does not count as noted. A
// start by an agent that was paused, killed or cut off in the last
// kEvacuationBound does not break EVAC.
class judge {
 public:
  explicit judge(record& log) : log_(log) {}

  // The run stays in place.
  seen_run& Started(seen_run run);
  void Ended(seen_run& run, const std::string& how);
  void Noted(seen_run& run);

  // The store has taken a request to evacuate a data centre, or its removal.
  void Evacuated(const std::string& data_centre);
  void EvacuationEnded(const std::string& data_centre);

  // A fault keeps the agent of an executor out of touch at present.
  void Disturbed(std::size_t executor) { disturbed_[executor] = log_.Now(); }
  // The store has answered no entry for this time.
  void StoreSilent(millis time) { store_silence_ += time; }

  // Prints each case; returns how many there are.
  std::size_t Report();

  std::size_t Runs() const { return runs_.size(); }
  std::size_t Running() const { return running_; }

 private:
  struct finding {
    finding_kind kind;
    const seen_run* first;
    const seen_run* second;
  };

  struct evacuation {
    millis taken = 0;
    millis store_silence = 0;  // Of all time before.
  };

  static std::string Describe(const seen_run& run);
  void JudgeEvacuation(const seen_run& run);

  record& log_;
  std::deque<seen_run> runs_;
  std::map<std::string, std::vector<seen_run*>> by_task_;
  std::size_t running_ = 0;
  std::map<std::string, evacuation> evacuations_;  // In force.
  std::map<std::size_t, millis> disturbed_;        // Last, by executor.
  millis store_silence_ = 0;
  std::size_t evacuation_count_ = 0;
  std::size_t starts_within_bound_ = 0;
  std::size_t starts_out_of_touch_ = 0;  // Later than the bound.
  std::vector<const seen_run*> late_starts_;
};

}  // namespace chervilkeel::soak
