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

// One run at one executor. Times are those of the record.
struct seen_run {
  std::string task;
  std::uint64_t run = 0;
  std::uint64_t epoch = 0;  // The token of the order.
  std::size_t executor = 0;
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

// Keeps all runs, and judges the rule TWICE. An end that is noted after the
// executor's lease has ended in between does not count as noted.
class judge {
 public:
  explicit judge(record& log) : log_(log) {}

  // The run stays in place.
  seen_run& Started(seen_run run);
  void Ended(seen_run& run, const std::string& how);
  void Noted(seen_run& run);

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

  static std::string Describe(const seen_run& run);

  record& log_;
  std::deque<seen_run> runs_;
  std::map<std::string, std::vector<seen_run*>> by_task_;
  std::size_t running_ = 0;
};

}  // namespace chervilkeel::soak
