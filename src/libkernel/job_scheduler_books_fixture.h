// Joins the real job scheduler with simulated agents and executors by channels
// that lose, delay and reorder messages, all in virtual time.
#pragma once

#include "job_scheduler_books_owner.h"

namespace chervilkeel {

class books_world {
 public:
  explicit books_world(std::uint64_t seed) : random_(seed) {
    has_crashes_ = random_.Happens(50);
    has_agent_ends_ = random_.Happens(50);
    has_agent_pauses_ = random_.Happens(50);
    has_drains_ = random_.Happens(40);
    has_pauses_ = random_.Happens(60);
    has_bad_links_ = random_.Happens(85);
    has_late_orders_ = random_.Happens(60);
    has_store_trouble_ = random_.Happens(50);
    has_epochs_ = random_.Happens(40);
    has_owner_changes_ = random_.Happens(40);
    guards_capacity_ = random_.Happens(50);
  }

  books_agent_faults faults;
  books_owner_faults owner_faults;
  // Owners are replaced while they may grant in an outage.
  bool has_outage_grants = false;

  void Print() { ledger_.prints = true; }

  // Returns what was broken first, or nothing.
  std::string Play() {
    NewOwner();
    const millis sites = random_.Between(2, 4);
    for (millis i = 0; i < sites; ++i) {
      auto& site = sites_.emplace_back(std::make_unique<books_site>(
          books_site{std::string(1, static_cast<char>('a' + i)),
                     random_.Between(100, 100'000),
                     {time_, random_, {}, nullptr},
                     nullptr,
                     {},
                     owner_,
                     0,
                     0,
                     0,
                     nullptr}));
      Bear(*site);
      StartAgent(*site);
      Announce(*site);
      Disturb(*site);
    }
    SubmitJobs();
    DisturbOwner();
    time_.RunUntil(kCalmFrom);
    Calm();
    time_.RunUntil(kEnd);
    CheckEnd();
    return ledger_.failure;
  }

  std::uint64_t Starts() const { return ledger_.starts; }

 private:
  struct books_site {
    std::string name;
    millis clock_offset = 0;  // Of the agent.
    books_executor executor;
    std::shared_ptr<books_agent> agent;
    link_state owner_link;
    std::shared_ptr<books_owner> owner;  // That the agent calls.
    std::uint64_t lives = 0;             // Of the executor.
    millis leaves_at = 0;                // While it drains.
    // Until when the agent reaches a former owner only, and which.
    millis cut_until = 0;
    std::shared_ptr<books_owner> cut_owner;
  };

  bool IsCalm() const { return time_.Now() >= kCalmFrom; }

  void NewOwner() {
    owner_ = std::make_shared<books_owner>(time_, random_, store_, ledger_);
    owner_->faults = owner_faults;
    owner_->Begin();
    owners_.push_back(owner_);
  }

  void Bear(books_site& site) {
    const bool has_left = std::exchange(site.leaves_at, 0) != 0;
    if (site.lives++ == 0 || has_left || random_.Happens(30)) {
      site_ids_[site.name] =
          "executor-" + site.name + std::to_string(site.lives);
    }
    site.executor.boot = std::make_shared<books_boot>(
        time_, random_, ledger_,
        executor_boot{site_ids_[site.name], kWallMs + time_.Now()}, kCapacity,
        guards_capacity_);
  }

  void Crash(books_site& site) {
    if (site.executor.boot == nullptr) {
      return;
    }
    site.executor.boot->Crash();
    site.executor.boot = nullptr;
    has_crashed_ = true;
    time_.After(random_.Between(50, 3'000), [this, &site] { Bear(site); });
  }

  // Drains an executor, which then ends and tells its agent, if that hears it.
  void Drain(books_site& site) {
    if (site.executor.boot == nullptr || site.leaves_at != 0) {
      return;
    }
    const millis remaining = random_.Between(300, 3'000);
    site.leaves_at = time_.Now() + remaining;
    has_crashed_ = true;  // So it looks to an agent that was not told.
    time_.After(remaining, [this, &site, boot = site.executor.boot] {
      if (boot != site.executor.boot) {
        return;
      }
      boot->Crash();
      site.executor.boot = nullptr;
      time_.After(random_.Between(50, 3'000), [this, &site] { Bear(site); });
      if (random_.Happens(30)) {
        return;
      }
      time_.After(random_.Between(1, 1'000), [&site, name = boot->Name()] {
        if (site.agent != nullptr) {
          site.agent->OnLeft(name);
        }
      });
    });
  }

  void StartAgent(books_site& site) {
    site.agent = std::make_shared<books_agent>(time_, site.executor, site.name,
                                               site.clock_offset);
    site.agent->faults = faults;
    site.agent->call = [this, &site](const books_sync& sync, bool has_failed,
                                     const books_agent::reply_function& reply) {
      CallOwner(site, sync, has_failed, reply);
    };
    site.agent->Begin();
  }

  void EndAgent(books_site& site) {
    if (site.agent == nullptr) {
      return;
    }
    site.agent = nullptr;
    ledger_.Note(time_.Now(), "agent " + site.name + " ends");
    time_.After(random_.Between(5, random_.Happens(50) ? 100 : 1'500),
                [this, &site] { StartAgent(site); });
  }

  void Announce(books_site& site) {
    if (site.executor.boot != nullptr) {
      executor_description said;
      said.boot = site.executor.boot->Name();
      said.service = "cutting";
      said.labels = {"a", "rack-1"};
      said.capacity = kCapacity;
      said.draining = site.leaves_at != 0;
      said.remaining = std::max<millis>(site.leaves_at - time_.Now(), 0);
      const bool is_late = !IsCalm() && random_.Happens(5);
      time_.After(is_late ? random_.Between(50, 3'000) : 2, [&site, said] {
        if (site.agent != nullptr) {
          site.agent->OnAnnouncement(said);
        }
      });
    }
    time_.After(kAnnouncementInterval, [this, &site] { Announce(site); });
  }

  void CallOwner(books_site& site,
                 const books_sync& sync,
                 bool has_failed,
                 const books_agent::reply_function& reply) {
    if (has_failed) {
      const millis last = static_cast<millis>(owners_.size()) - 1;
      const millis chosen =
          random_.Happens(70) ? last : random_.Between(0, last);
      site.owner = owners_[static_cast<std::size_t>(chosen)];
    }
    if (time_.Now() < site.cut_until) {
      site.owner = site.cut_owner;
    }
    const auto is_answered = std::make_shared<bool>(false);
    const auto answer = [is_answered,
                         reply](const std::optional<books_reply>& value) {
      if (!std::exchange(*is_answered, true)) {
        reply(value);
      }
    };
    time_.After(kSyncTimeout, [answer] { answer(std::nullopt); });
    if (random_.Happens(site.owner_link.lost_percent)) {
      return;
    }
    time_.After(Delay(site), [this, &site, owner = site.owner, sync, answer] {
      owner->Run([this, &site, owner, sync, answer] {
        owner->OnSync(sync, [this, &site, answer](const books_reply& value) {
          if (!random_.Happens(site.owner_link.lost_percent)) {
            time_.After(Delay(site), [answer, value] { answer(value); });
          }
        });
      });
    });
  }

  millis Delay(const books_site& site) {
    return random_.Happens(site.owner_link.slow_percent)
               ? random_.Between(20, 3'000)
               : random_.Between(1, 6);
  }

  link_state DrawLink(bool has_late_orders) {
    link_state link;
    switch (has_bad_links_ ? random_.Between(0, 5) : 0) {
      case 1:
        link.slow_percent = random_.Happens(50) ? 20 : 60;
        break;
      case 2:
        link.lost_percent = 25;
        link.slow_percent = 10;
        break;
      case 3:
        link.lost_percent = 100;
        break;
      default:
        break;
    }
    if (has_late_orders && random_.Happens(50)) {
      link.late_percent = 15;
    }
    return link;
  }

  void Disturb(books_site& site) {
    time_.After(random_.Between(200, 1'500), [this, &site] {
      if (IsCalm()) {
        return;
      }
      site.owner_link = DrawLink(false);
      site.executor.link = DrawLink(has_late_orders_);
      if (has_crashes_ && random_.Happens(12)) {
        Crash(site);
      }
      if (has_agent_ends_ && random_.Happens(25)) {
        EndAgent(site);
      }
      if (has_agent_pauses_ && site.agent != nullptr && random_.Happens(15)) {
        site.agent->PauseFor(random_.Between(100, 4'000));
      }
      if (has_drains_ && random_.Happens(12)) {
        Drain(site);
      }
      Disturb(site);
    });
  }

  void DisturbOwner() {
    time_.After(random_.Between(300, 3'000), [this] {
      if (IsCalm()) {
        return;
      }
      store_.is_in_trouble = has_store_trouble_ && random_.Happens(40);
      if (has_pauses_ && random_.Happens(35)) {
        owner_->PauseFor(random_.Between(200, 4'000));
      }
      if (has_epochs_ && random_.Happens(15)) {
        owner_->Run([owner = owner_] { owner->RaiseEpoch(); });
      }
      if (has_outage_grants && random_.Happens(kOutagePercent)) {
        ReplaceInOutage();
      } else if (has_owner_changes_ && random_.Happens(15)) {
        ++store_.epoch;
        const millis right_left = random_.Between(0, kMaxBelief);
        owner_->Replace(right_left,
                        random_.Happens(50)
                            ? right_left
                            : random_.Between(right_left, kMaxTermBeside));
        NewOwner();
      }
      DisturbOwner();
    });
  }

  void ReplaceInOutage() {
    ++store_.epoch;
    store_.former_may_grant = !owner_faults.ignores_outage_grants;
    const millis right_left =
        random_.Between(0, books_owner::kLongestOutageGrant);
    owner_->ReplaceInOutage(right_left,
                            random_.Between(right_left, kMaxTermBeside));
    for (const auto& site : sites_) {
      if (random_.Happens(50)) {
        site->cut_until = time_.Now() + random_.Between(1'000, kMaxTermBeside);
        site->cut_owner = owner_;
        site->owner = owner_;
      }
    }
    NewOwner();
  }

  void Calm() {
    ledger_.is_calm = true;
    store_.is_in_trouble = false;
    for (const auto& site : sites_) {
      site->owner_link = {};
      site->executor.link = {};
    }
  }

  job_record DrawJob(const std::string& id, bool is_service) {
    job_record record;
    record.id = id;
    record.queue = books_owner::Queue();
    record.accepted_ms = kWallMs;
    const millis steps = is_service ? 1 : random_.Between(1, 2);
    for (millis s = 0; s < steps; ++s) {
      job_step step;
      step.tasks = static_cast<std::uint32_t>(random_.Between(1, 4));
      step.size = {500 * random_.Between(1, 4), 100, 0};
      step.expected = random_.Between(100, 1'500);
      step.service = is_service;
      step.speculative = !is_service && random_.Happens(20);
      step.most_per_worker = static_cast<std::uint32_t>(random_.Between(0, 2));
      if (s > 0) {
        step.after.push_back(0);
      }
      record.spec.steps.push_back(step);
    }
    return record;
  }

  void SubmitJobs() {
    const millis jobs = random_.Between(3, 16);
    for (millis i = 0; i < jobs; ++i) {
      const bool is_service = random_.Happens(10);
      const millis when = random_.Between(200, kCalmFrom - 3'000);
      job_record record = DrawJob("job" + std::to_string(i), is_service);
      if (!is_service && random_.Happens(15)) {
        record.spec.repeats = static_cast<std::uint32_t>(random_.Between(1, 4));
        record.spec.first_due_ms =
            kWallMs + time_.Now() + when + random_.Between(0, 500);
        record.spec.repeat_interval = random_.Between(100, 1'000);
      }
      time_.After(when, [this, record]() mutable {
        record.epoch = store_.epoch;
        store_.records.push_back(record);
        ledger_.jobs[record.id] = record;
        for (const auto& owner : owners_) {
          owner->AddJob(record);
        }
      });
      if (is_service || random_.Happens(15)) {
        const millis latest = kCalmFrom - 1'000 - when;
        time_.After(when + random_.Between(5, is_service ? latest : 3'000),
                    [this, id = record.id] {
                      store_.cancelled.insert(id);
                      owner_->CancelJob(id);
                    });
      }
    }
  }

  bool HasRun(const task_run& run, const task_name& task) const {
    for (const auto& site : sites_) {
      const auto& boot = site->executor.boot;
      if (site->name == run.agent && boot != nullptr &&
          boot->Name() == run.boot && boot->IsRunning({task, run.run})) {
        return true;
      }
    }
    return false;
  }

  void CheckEnd() {
    const job_scheduler& scheduler = owner_->Scheduler();
    for (const auto& [id, record] : ledger_.jobs) {
      const auto job = scheduler.Jobs().find(id);
      if (job == scheduler.Jobs().end()) {
        ledger_.Fail(time_.Now(), id + " is not known");
        continue;
      }
      const job_state state = job->second.state;
      const bool may_be =
          state == job_state::kCompleted ||
          (state == job_state::kCancelled && store_.cancelled.count(id) != 0) ||
          (state == job_state::kFailed && has_crashed_);
      if (!may_be) {
        ledger_.Fail(time_.Now(), id + " is still " + NameOf(state));
      }
      for (const auto& [number, occurrence] : job->second.occurrences) {
        CheckRuns(id, number, occurrence);
      }
    }
    for (const auto& [agent, worker] : scheduler.Workers()) {
      if (!(worker.used == amount()) || !worker.tasks.empty()) {
        ledger_.Fail(time_.Now(), "worker " + agent + " has used room");
      }
      if (worker.open_starts != 0 || worker.open_start_bytes != 0) {
        ledger_.Fail(time_.Now(), "worker " + agent + " has open starts");
      }
    }
    for (const auto& site : sites_) {
      if (site->executor.boot != nullptr && !site->executor.boot->IsIdle()) {
        ledger_.Fail(time_.Now(), "executor of " + site->name + " has runs");
      }
    }
  }

  void CheckRuns(const std::string& id,
                 std::uint32_t number,
                 const scheduled_occurrence& occurrence) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const auto& tasks = occurrence.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.Size(); ++i) {
        for (const task_run& run : tasks[i].runs) {
          const task_name task{id, number, s, i};
          if (!HasRun(run, task)) {
            ledger_.Fail(time_.Now(), "the books hold " + task.ToString() +
                                          " run " + std::to_string(run.run) +
                                          ", which no executor has");
          }
        }
      }
    }
  }

  static constexpr millis kCalmFrom = 20'000;
  static constexpr millis kEnd = kCalmFrom + 15'000;
  static constexpr millis kAnnouncementInterval = 200;
  static constexpr millis kSyncTimeout = 1'000;
  // How long an owner that was replaced has the right to grant, and how long it
  // goes on beside the next one.
  static constexpr millis kMaxBelief = 800;
  static constexpr int kOutagePercent = 40;
  static constexpr millis kMaxTermBeside = 8'000;
  static constexpr amount kCapacity = {4'000, 8'000, 0};

  virtual_time time_;
  dice random_;
  books_ledger ledger_;
  books_store store_;
  bool has_crashes_ = false;
  bool has_agent_ends_ = false;
  bool has_agent_pauses_ = false;
  bool has_drains_ = false;
  bool has_pauses_ = false;
  bool has_bad_links_ = false;
  bool has_late_orders_ = false;
  bool has_store_trouble_ = false;
  bool has_epochs_ = false;
  bool has_owner_changes_ = false;
  bool guards_capacity_ = false;
  bool has_crashed_ = false;
  std::vector<std::unique_ptr<books_site>> sites_;
  std::map<std::string, std::string> site_ids_;
  std::shared_ptr<books_owner> owner_;  // The newest.
  std::vector<std::shared_ptr<books_owner>> owners_;
};

}  // namespace chervilkeel
