// Simulated executors in virtual time.
#pragma once

#include <memory>
#include <optional>

#include "chervilkeel/task_executor.h"
#include "job_scheduler_books_ledger.h"

namespace chervilkeel {

// How a link treats its messages at the moment.
struct link_state {
  int lost_percent = 0;
  int slow_percent = 0;
  int late_percent = 0;  // Orders that get no answer and are carried out late.
};

// One boot of an executor.
class books_boot : public std::enable_shared_from_this<books_boot> {
 public:
  struct start_request {
    run_name run;
    std::uint64_t epoch = 0;
    millis lease_end = 0;
    bool is_late = false;
  };
  struct answer {
    executor_verdict verdict = executor_verdict::kAccepted;
    millis clock = 0;
  };

  books_boot(virtual_time& time,
             dice& random,
             books_ledger& ledger,
             executor_boot name,
             amount capacity,
             bool guards_capacity)
      : time_(time),
        random_(random),
        ledger_(ledger),
        name_(std::move(name)),
        where_(name_.id + "/" + std::to_string(name_.started_ms)),
        capacity_(capacity),
        guards_capacity_(guards_capacity),
        born_(time.Now()),
        rate_percent_(random.Between(98, 100)) {}

  const executor_boot& Name() const { return name_; }
  bool IsRunning(const run_name& run) const { return runs_.count(run) != 0; }
  bool IsIdle() const { return runs_.empty(); }
  millis Clock() const {
    return 1 + (time_.Now() - born_) * rate_percent_ / 100;
  }

  answer Start(const start_request& request) {
    const auto& [task, number] = request.run;
    if (!Obey(request.epoch)) {
      return {executor_verdict::kFenced, Clock()};
    }
    if (request.lease_end <= Clock()) {
      return {executor_verdict::kLeaseExpired, Clock()};
    }
    ExtendLease(request.lease_end);
    if (IsRunning(request.run)) {
      return {executor_verdict::kAccepted, Clock()};
    }
    const auto closed = closed_.find(task);
    if (closed != closed_.end() && number <= closed->second) {
      return {executor_verdict::kOutdated, Clock()};
    }
    const job_step& step = ledger_.StepOf(task);
    amount used = step.size;
    std::uint32_t of_step = 1;
    for (const auto& [run, state] : runs_) {
      used += ledger_.StepOf(run.first).size;
      of_step += IsOfSameStep(run.first, task) ? 1 : 0;
    }
    if (used.milli_processors > capacity_.milli_processors) {
      if (guards_capacity_) {
        return {executor_verdict::kNoCapacity, Clock()};
      }
      ledger_.Fail(time_.Now(), ledger_.Text(request.run) +
                                    " exceeds the room of " + where_);
    }
    if (step.most_per_worker != 0 && of_step > step.most_per_worker) {
      ledger_.Fail(time_.Now(), ledger_.Text(request.run) +
                                    " exceeds its step's limit on " + where_);
    }
    ledger_.OnStart(request.run, where_, time_.Now(), request.is_late);
    Begin(request.run);
    return {executor_verdict::kAccepted, Clock()};
  }

  answer Stop(const run_name& run, std::uint64_t epoch) {
    if (!Obey(epoch)) {
      return {executor_verdict::kFenced, Clock()};
    }
    NoteLapse();
    ledger_.Note(time_.Now(), "stop " + ledger_.Text(run) + " on " + where_);
    std::uint64_t& closed = closed_[run.first];
    closed = std::max(closed, run.second);
    const auto found = runs_.find(run);
    if (found != runs_.end() && !found->second.is_stopping) {
      found->second.is_stopping = true;
      EndAfter(kStopTime, run, run_end::kStopped);
    }
    return {executor_verdict::kAccepted, Clock()};
  }

  bool Hold(std::uint64_t epoch, millis lease_end, std::uint64_t recorded) {
    if (!Obey(epoch)) {
      return false;
    }
    NoteLapse();
    for (const ended_run& ended : ends_) {
      if (ended.number <= recorded && ended.end == run_end::kDone) {
        ledger_.OnRecorded(where_, ended.number, last_lapse_, time_.Now());
      }
    }
    std::erase_if(ends_, [recorded](const ended_run& ended) {
      return ended.number <= recorded;
    });
    if (lease_end > Clock()) {
      ExtendLease(lease_end);
    }
    return true;
  }

  executor_run_list List() {
    NoteLapse();
    executor_run_list list;
    list.clock = Clock();
    list.started_ms = name_.started_ms;
    list.ended = ends_;
    for (const auto& [run, state] : runs_) {
      list.running.push_back(
          {run.first, run.second, "", PercentOf(run, state), 0});
    }
    return list;
  }

  bool HasEnds() const { return !ends_.empty(); }

  void Crash() {
    ledger_.Note(time_.Now(), "crash of " + where_);
    for (const auto& [run, state] : runs_) {
      ledger_.OnEnd(run, where_);
    }
    runs_.clear();
    ledger_.OnCrash(where_);
  }

 private:
  struct run_state {
    millis began = 0;
    millis duration = 0;
    bool is_stopping = false;
    bool is_stuck = false;  // Makes no progress and does not end.
  };

  static bool IsOfSameStep(const task_name& one, const task_name& other) {
    return one.job == other.job && one.occurrence == other.occurrence &&
           one.step == other.step;
  }

  void Begin(const run_name& run) {
    const bool is_service = ledger_.StepOf(run.first).service;
    run_state& state = runs_[run];
    state = {time_.Now(), random_.Between(100, ledger_.is_calm ? 200 : 1'500),
             false, false};
    const bool fails = !ledger_.is_calm && random_.Happens(kFailedPercent);
    state.is_stuck =
        !is_service && !ledger_.is_calm && random_.Happens(kStuckPercent);
    if (!state.is_stuck && (!is_service || fails)) {
      EndAfter(state.duration, run, fails ? run_end::kFailed : run_end::kDone);
    }
  }

  std::uint32_t PercentOf(const run_name& run, const run_state& state) const {
    if (ledger_.StepOf(run.first).service) {
      return 100;
    }
    const millis worked = time_.Now() - state.began;
    return state.is_stuck ? kStuckAt
                          : static_cast<std::uint32_t>(worked * 100 /
                                                       (state.duration + 1));
  }

  bool Obey(std::uint64_t epoch) {
    if (epoch < highest_epoch_) {
      return false;
    }
    highest_epoch_ = epoch;
    return true;
  }

  void ExtendLease(millis lease_end) {
    NoteLapse();
    lease_end_ = std::max(lease_end_, std::min(lease_end, Clock() + kMaxLease));
    is_lapsed_ = false;
    time_.After((lease_end_ - Clock()) * 100 / rate_percent_ + 1,
                [weak = weak_from_this()] {
                  if (const auto boot = weak.lock()) {
                    boot->NoteLapse();
                  }
                });
  }

  void NoteLapse() {
    if (is_lapsed_ || Clock() < lease_end_) {
      return;
    }
    is_lapsed_ = true;
    last_lapse_ = time_.Now();
    while (!runs_.empty()) {
      const run_name run = runs_.begin()->first;
      End(run, run_end::kLapsed);
    }
  }

  void EndAfter(millis delay, const run_name& run, run_end end) {
    time_.After(delay, [weak = weak_from_this(), run, end] {
      const auto boot = weak.lock();
      if (boot == nullptr || !boot->IsRunning(run)) {
        return;
      }
      const bool is_stopping = boot->runs_.at(run).is_stopping;
      if (is_stopping == (end == run_end::kStopped)) {
        boot->End(run, end);
      }
    });
  }

  void End(const run_name& run, run_end end) {
    runs_.erase(run);
    std::uint64_t& closed = closed_[run.first];
    closed = std::max(closed, run.second);
    ends_.push_back({++last_end_, run.first, run.second, end, ""});
    ledger_.OnEnd(run, where_);
    ledger_.Note(time_.Now(), "end " + ledger_.Text(run) + " on " + where_ +
                                  " " + NameOf(end));
    if (end == run_end::kDone) {
      ledger_.OnDone(run.first, where_, last_end_, time_.Now());
    }
  }

  static constexpr millis kMaxLease = 6'000;
  static constexpr millis kStopTime = 200;
  static constexpr int kFailedPercent = 8;
  static constexpr int kStuckPercent = 5;
  static constexpr std::uint32_t kStuckAt = 10;  // Percent of the work.

  virtual_time& time_;
  dice& random_;
  books_ledger& ledger_;
  const executor_boot name_;
  const std::string where_;
  const amount capacity_;
  const bool guards_capacity_;
  const millis born_;
  const millis rate_percent_;  // Of its clock.
  std::uint64_t highest_epoch_ = 0;
  millis lease_end_ = 0;  // By its clock.
  bool is_lapsed_ = true;
  millis last_lapse_ = 0;
  std::map<task_name, std::uint64_t> closed_;  // Stopped or ended runs.
  std::map<run_name, run_state> runs_;
  std::vector<ended_run> ends_;
  std::uint64_t last_end_ = 0;
};

// The boots under one address, and the calls to them.
class books_executor {
 public:
  virtual_time& time;
  dice& random;
  link_state link;
  std::shared_ptr<books_boot> boot;  // Null while it is down.

  // Calls `act` on the present boot if it is the one that is meant, again until
  // it returns a value. `callback` gets none if there is no answer within the
  // timeout.
  template <class value_type>
  void Call(
      const executor_boot& meant,
      bool any_boot,
      millis timeout,
      std::function<std::optional<value_type>(books_boot&, bool is_late)> act,
      std::function<void(std::optional<value_type>)> callback) {
    const auto is_answered = std::make_shared<bool>(false);
    const auto answer = [is_answered,
                         callback](std::optional<value_type> value) {
      if (!std::exchange(*is_answered, true)) {
        callback(std::move(value));
      }
    };
    time.After(timeout, [answer] { answer(std::nullopt); });
    const bool is_late = random.Happens(link.late_percent);
    if (!is_late && random.Happens(link.lost_percent)) {
      return;
    }
    const millis delay = is_late ? random.Between(0, kMaxLateness) : Delay();
    const bool is_answer_lost = is_late || random.Happens(link.lost_percent);
    time.After(
        delay, [this, meant, any_boot, delay, is_answer_lost, answer, act] {
          if (boot == nullptr) {
            return;
          }
          if (!any_boot && boot->Name() != meant) {
            time.After(1, [answer] { answer(std::nullopt); });
            return;
          }
          Carry<value_type>(boot, is_answer_lost, delay > kLate, act, answer);
        });
  }

 private:
  template <class value_type>
  void Carry(
      const std::shared_ptr<books_boot>& called,
      bool is_answer_lost,
      bool is_late,
      const std::function<std::optional<value_type>(books_boot&, bool)>& act,
      const std::function<void(std::optional<value_type>)>& answer) {
    if (called != boot) {
      return;
    }
    auto value = act(*called, is_late);
    if (!value) {
      time.After(
          kWaitStep, [this, called, is_answer_lost, is_late, act, answer] {
            Carry<value_type>(called, is_answer_lost, is_late, act, answer);
          });
    } else if (!is_answer_lost) {
      time.After(Delay(),
                 [answer, value = std::move(value)] { answer(value); });
    }
  }

  millis Delay() {
    return random.Happens(link.slow_percent) ? random.Between(20, 1'400)
                                             : random.Between(1, 4);
  }

  static constexpr millis kWaitStep = 10;
  static constexpr millis kMaxLateness = 8'000;
  static constexpr millis kLate = 400;
};

}  // namespace chervilkeel
