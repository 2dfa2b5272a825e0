#include "job_agent_process.h"

#include <algorithm>
#include <set>

#include <boost/json.hpp>

#include "chervilkeel/event_log.h"
#include "chervilkeel/http_drain.h"
#include "job_wire.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "agent";
constexpr millis kHoldWait = 250;  // The executor answers at an end, or then.
constexpr millis kHoldTimeout = 1'200;     // Of the call; above the wait.
constexpr millis kConfirmTimeout = 1'000;  // Of the question for a boot.
// An executor that leaves ends after its announcement, at times seconds later.
constexpr millis kLeaveInterval = 100;  // Between two questions.
constexpr millis kMaxLeaveTime = 5'000;
constexpr millis kHoldRetry = 150;       // After a failed call.
constexpr millis kUnrecordedPause = 40;  // While ends wait to be recorded.
constexpr millis kRunsInterval = 250;    // Between two full lists to the owner.
constexpr millis kSyncTimeout = 1'000;   // Above what the owner holds a call.
constexpr millis kSyncRetry = 150;
constexpr millis kListingFresh = 1'000;  // An older list is not reported.
constexpr int kHoldFailuresToLost = 3;
constexpr std::uint64_t kAnnouncementCopies = 2;  // As text and parsed.

// What an announcement may say: no boot in the future, at most one announcement
// a millisecond since the boot, and no amount beyond any machine's.
constexpr millis kMaxClockError = 60'000;
constexpr std::int64_t kMaxMilliProcessors = 10'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;
constexpr std::int64_t kMaxAccelerators = 10'000;

bool IsPlausible(std::int64_t value, std::int64_t most) {
  return value >= 0 && value <= most;
}

// Returns what is wrong with the numbers of an announcement; empty if nothing
// is. One that were believed could make all later ones look outdated.
std::string FindImplausible(const announcement& said) {
  const executor_description& worker = said.worker;
  const millis latest = static_cast<millis>(WallNow()) + kMaxClockError;
  if (!IsPlausible(worker.boot.started_ms, latest)) {
    return "the time of the boot";
  }
  if (said.sequence >
      static_cast<std::uint64_t>(latest - worker.boot.started_ms)) {
    return "the sequence";
  }
  if (!IsPlausible(worker.capacity.milli_processors, kMaxMilliProcessors) ||
      !IsPlausible(worker.capacity.memory_mb, kMaxMemoryMb) ||
      !IsPlausible(worker.capacity.accelerators, kMaxAccelerators)) {
    return "the capacity";
  }
  return "";
}

}  // namespace

job_agent_process::job_agent_process(boost::asio::io_context& context,
                                     const process_settings& settings,
                                     std::unique_ptr<platform_adapter> adapter)
    : context_(context),
      settings_(settings),
      adapter_(std::move(adapter)),
      store_(adapter_->MakeStore(context, settings_.store)),
      admission_(MakeAdmission(settings_, metrics_)),
      locator_(store_, settings_),
      executor_(adapter_->MakeExecutor(context, settings_.job_executor)),
      hold_timer_(context),
      sync_timer_(context),
      incarnation_(WallNow()) {
  worker_.data_centre = settings_.data_centre;  // Until its executor is known.
}

result<void> job_agent_process::Start() {
  http_server_options options;
  options.listen = settings_.announcements;
  options.admission = admission_;
  options.share = {"announcements", kClientsPercent};
  options.copies_in_service = kAnnouncementCopies;
  options.takes_json = true;
  announcements_ = std::make_shared<http_server>(
      context_, options,
      [this](const http_request& request, const http_responder& respond) {
        TakeAnnouncement(request, respond);
      });
  const auto started = announcements_->Start();
  if (!started) {
    return started.as_failure();
  }
  locator_.Failed();
  Sync(true);
  return boost::outcome_v2::success();
}

// The executor's lease is extended one last time by the hold that is open; the
// next process of this VM goes on within it.
void job_agent_process::Stop(std::function<void()> done) {
  leaving_ = true;
  announcements_->Drain();
  if (clock_known_ && BootNow() < granted_until_) {
    executor_->RenewLeases(Context(kHoldRetry), LeaseEnd(), recorded_end_, 0,
                           [this, done = std::move(done)](const auto&) mutable {
                             EndWhenAnswered(std::move(done));
                           });
  } else {
    EndWhenAnswered(std::move(done));
  }
}

void job_agent_process::EndWhenAnswered(std::function<void()> done) {
  announcements_->Stop();
  AwaitAnswers(context_, announcements_, kLastWriteTime,
               [done = std::move(done)](std::uint64_t unanswered) {
                 LogEvent(kPart, "drained", {{"unanswered", unanswered}}, true);
                 done();
               });
}

void job_agent_process::TakeAnnouncement(const http_request& request,
                                         const http_responder& respond) {
  const auto said = adapter_->DecodeAnnouncement(request);
  if (!said) {
    LogEvent(kPart, "announcement_unreadable",
             {{"path", request.path}, {"error", ToString(said.error())}});
    respond(ErrorResponse(400, said.error().message));
    return;
  }
  const announcement& value = said.value();
  http_response accepted;
  accepted.body = "{}";
  if (value.leaving) {
    if (value.worker.boot.id == worker_.boot.id) {
      LogEvent(kPart, "leave_announced",
               {{"executor", worker_.boot.id},
                {"started_ms", worker_.boot.started_ms},
                {"draining", worker_.draining}},
               true);
      leave_announced_ = BootNow();
      if (leaving_boot_ != worker_.boot) {
        leaving_boot_ = worker_.boot;
        Later(kLeaveInterval,
              [this, boot = worker_.boot] { ConfirmLeave(boot); });
      }
    }
    respond(accepted);
    return;
  }
  const std::string implausible = FindImplausible(value);
  if (!implausible.empty()) {
    LogEvent(kPart, "announcement_implausible",
             {{"executor", value.worker.boot.id},
              {"field", implausible},
              {"started_ms", value.worker.boot.started_ms},
              {"sequence", value.sequence}},
             true);
    metrics_.CountEvent("announcements_implausible");
    respond(ErrorResponse(400, implausible + " is out of range"));
    return;
  }
  if (value.address.ToString() != settings_.job_executor.ToString()) {
    LogEvent(kPart, "announcement_of_other_address",
             {{"executor", value.worker.boot.id},
              {"address", value.address.ToString()}});
    respond(accepted);
    return;
  }
  TakeBoot(value);
  respond(accepted);
}

void job_agent_process::ConfirmLeave(const executor_boot& boot) {
  if (boot != worker_.boot || leaving_) {
    return;
  }
  if (BootNow() - leave_announced_ > kMaxLeaveTime) {
    LogEvent(kPart, "leave_unconfirmed", {{"executor", boot.id}}, true);
    metrics_.CountEvent("leaves_unconfirmed");
    leaving_boot_ = executor_boot();
    return;
  }
  const auto ask_again = [this, boot] {
    Later(kLeaveInterval, [this, boot] { ConfirmLeave(boot); });
  };
  if (epoch_ == 0) {
    ask_again();
    return;
  }
  executor_->RenewLeases(
      {{boot.id, 0}, epoch_, kConfirmTimeout}, 0, 0, 0,
      [this, boot, ask_again,
       asked = BootNow()](const result<executor_run_list>& listing) {
        if (boot != worker_.boot) {
          return;
        }
        // A connection that is not even refused may be cut.
        const bool is_down = !listing &&
                             listing.error().code == error_code::kUnavailable &&
                             BootNow() - asked < kConfirmTimeout;
        const bool is_other_boot =
            listing &&
            (listing.value().verdict == executor_verdict::kOtherBoot ||
             (listing.value().verdict == executor_verdict::kAccepted &&
              !IsMadeBy(listing.value(), boot)));
        if (is_down || is_other_boot) {
          OnExecutorLeft();
        } else {
          ask_again();
        }
      });
}

void job_agent_process::OnExecutorLeft() {
  LogEvent(kPart, "executor_left",
           {{"executor", worker_.boot.id},
            {"waited_ms", BootNow() - leave_announced_}},
           true);
  gone_ = worker_.boot;
  leaving_boot_ = executor_boot();
  history_.OnLeft();
  runs_.clear();
  obeyed_epoch_ = 0;
  Sync(false);
}

void job_agent_process::TakeBoot(const announcement& said) {
  const executor_boot& boot = said.worker.boot;
  // Without an epoch nobody has orders for the executor, and it isn't called.
  if (boot != worker_.boot && !worker_.boot.id.empty() && epoch_ != 0) {
    ConfirmBoot(said);
    return;
  }
  const announcement_verdict verdict =
      boot == worker_.boot ? filter_.Judge(said, BootNow())
      : boot.started_ms < worker_.boot.started_ms
          ? announcement_verdict::kOutdated
          : announcement_verdict::kAccepted;
  if (verdict == announcement_verdict::kAccepted) {
    FollowBoot(said);
    return;
  }
  LogEvent(kPart, "announcement_passed_over",
           {{"executor", boot.id},
            {"cause", NameOf(verdict)},
            {"started_ms", boot.started_ms},
            {"service", said.worker.service},
            {"followed_service", worker_.service},
            {"sequence", said.sequence},
            {"followed_sequence", filter_.Sequence()}});
  metrics_.CountEvent("announcements_passed_over");
}

// The executor's answer tells a boot from one that never was and from a former
// one, whose announcement may be delayed, whatever the time that they claim.
// The call extends no lease and acknowledges no end.
void job_agent_process::ConfirmBoot(const announcement& said) {
  const executor_boot& boot = said.worker.boot;
  if (boot == unconfirmed_) {
    return;  // Its answer is awaited.
  }
  unconfirmed_ = boot;
  executor_->RenewLeases(
      {{boot.id, 0}, epoch_, kConfirmTimeout}, 0, 0, 0,
      [this, said](const result<executor_run_list>& listing) {
        const executor_boot& asked = said.worker.boot;
        if (asked != unconfirmed_) {
          return;  // Another boot was announced later.
        }
        unconfirmed_ = executor_boot();
        const bool accepted =
            listing && listing.value().verdict == executor_verdict::kAccepted;
        const std::int64_t named = accepted ? listing.value().started_ms : 0;
        if (accepted &&
            (named == asked.started_ms ||
             (named == 0 && asked.started_ms > worker_.boot.started_ms))) {
          FollowBoot(said);
          return;
        }
        LogEvent(kPart, "announcement_unconfirmed",
                 {{"executor", asked.id},
                  {"started_ms", asked.started_ms},
                  {"named_ms", named},
                  {"followed_ms", worker_.boot.started_ms}});
        metrics_.CountEvent("announcements_unconfirmed");
      });
}

void job_agent_process::FollowBoot(const announcement& said) {
  const executor_boot& boot = said.worker.boot;
  const bool new_boot = boot != worker_.boot;
  const bool drains = said.worker.draining && !worker_.draining;
  if (new_boot) {
    filter_.Follow(said, BootNow());
    LogEvent(kPart, "executor_boot",
             {{"executor", boot.id},
              {"started_ms", boot.started_ms},
              {"former", worker_.boot.id}},
             true);
    NoteEndOfBoot();
    obeyed_epoch_ = 0;
    clock_known_ = false;
    runs_.clear();
    runs_listed_ = false;
    ends_.clear();
    told_end_ = 0;
    recorded_end_ = 0;
    unreadable_end_ = 0;
    has_unreadable_end_ = false;
    open_starts_.clear();
    open_stops_.clear();
    withdrawn_.clear();
    settled_.clear();
    starts_.clear();
  }
  worker_ = said.worker;
  if (worker_.data_centre.empty()) {
    worker_.data_centre = settings_.data_centre;
  }
  ++announced_;
  if (drains) {
    LogEvent(kPart, "executor_draining",
             {{"executor", boot.id}, {"remaining_ms", worker_.remaining}},
             true);
    Sync(false);
  }
  if (!holding_) {
    Hold();
  }
}

// An executor that has announced its end does not crash, nor does a boot that
// has never answered: it may be none, and nothing was started there.
void job_agent_process::NoteEndOfBoot() {
  if (worker_.boot.id.empty() || !runs_listed_) {
    return;
  }
  if (leaving_boot_ == worker_.boot) {
    OnExecutorLeft();
  } else if (worker_.draining || gone_ == worker_.boot) {
    history_.OnLeft();
  } else {
    history_.OnCrash(worker_.boot, BootNow());
  }
}

order_context job_agent_process::Context(millis timeout) const {
  return {worker_.boot, epoch_, timeout};
}

bool job_agent_process::IsCurrent(const order_context& asked) const {
  return asked.epoch == epoch_ && asked.boot == worker_.boot;
}

void job_agent_process::Later(millis delay, std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(std::chrono::milliseconds(delay));
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code) { step(); });
}

// The clock was read before the answer came, so that the offset is never too
// large and no lease ends later than the grant.
void job_agent_process::NoteClock(millis clock) {
  if (clock > 0) {
    clock_offset_ = clock - BootNow();
    clock_known_ = true;
  }
}

millis job_agent_process::LeaseEnd() const {
  return granted_until_ + clock_offset_;
}

void job_agent_process::HoldAfter(millis delay) {
  hold_timer_.expires_after(std::chrono::milliseconds(delay));
  hold_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Hold();
    }
  });
}

void job_agent_process::Hold() {
  if (holding_ || worker_.boot.id.empty() || epoch_ == 0 || leaving_) {
    return;
  }
  holding_ = true;
  const millis now = BootNow();
  const bool granted = clock_known_ && now < granted_until_;
  const bool unrecorded = !ends_.empty();
  const bool first = obeyed_epoch_ != epoch_;
  const millis wait = first || unrecorded ? 0 : kHoldWait;
  executor_->RenewLeases(
      Context(wait + kHoldTimeout), granted ? LeaseEnd() : 0, recorded_end_,
      wait,
      [this, epoch = epoch_, now](const result<executor_run_list>& listing) {
        holding_ = false;
        OnListing(listing, epoch, now);
      });
}

void job_agent_process::OnListing(const result<executor_run_list>& listing,
                                  std::uint64_t epoch,
                                  millis asked) {
  if (!listing || listing.value().verdict != executor_verdict::kAccepted) {
    if (++hold_failures_ == kHoldFailuresToLost) {
      LogEvent(kPart, "executor_lost",
               {{"executor", worker_.boot.id},
                {"error", listing ? NameOf(listing.value().verdict)
                                  : ToString(listing.error())},
                {"epoch", epoch}},
               true);
    }
    if (listing && listing.value().verdict == executor_verdict::kFenced) {
      locator_.Failed();
    }
    HoldAfter(kHoldRetry);
    return;
  }
  if (hold_failures_ >= kHoldFailuresToLost) {
    LogEvent(kPart, "executor_regained", {{"executor", worker_.boot.id}}, true);
  }
  hold_failures_ = 0;
  if (!IsMadeBy(listing.value(), worker_.boot)) {
    // Another boot under the same id; its announcement will follow.
    obeyed_epoch_ = 0;
    HoldAfter(kHoldRetry);
    return;
  }
  TakeListing(listing.value(), epoch, asked);
  const bool quick = BootNow() - asked < kUnrecordedPause;
  HoldAfter(!ends_.empty() || quick ? kUnrecordedPause : 0);
}

void job_agent_process::TakeListing(const executor_run_list& listing,
                                    std::uint64_t epoch,
                                    millis asked) {
  NoteClock(listing.clock);
  const bool first = epoch == epoch_ && obeyed_epoch_ != epoch;
  if (epoch == epoch_) {
    obeyed_epoch_ = epoch;
  }
  runs_ = listing.running;
  runs_listed_ = true;
  asked_ = asked;
  listed_ = BootNow();
  NoteUnreadableRows(listing);
  if (runs_complete_) {
    history_.OnList(runs_, asked, listed_);
  } else {
    history_.OnAnswer(listed_);
    for (const ended_run& ended : listing.ended) {
      history_.OnEnded(ended.task, ended.run);
    }
  }
  ends_.clear();
  std::uint64_t last = 0;
  for (const ended_run& ended : listing.ended) {
    if (ended.number > recorded_end_) {
      ends_.push_back(ended);
      last = ended.number;
    }
  }
  SettleOrders(listing, asked);
  if (first || last > told_end_) {
    Sync(false);
  }
}

// Tells the owner the news at once, or waits at it for orders.
void job_agent_process::Sync(bool wait) {
  if (leaving_) {
    return;
  }
  const std::string address = locator_.Address();
  if (wait && syncing_) {
    return;
  }
  // After a failure only the call that waits finds the owner again.
  if (!wait && (news_open_ || !owner_answers_)) {
    news_waiting_ = true;
    return;
  }
  if (address.empty()) {
    if (wait) {
      locator_.Failed();
      sync_timer_.expires_after(std::chrono::milliseconds(kSyncRetry));
      sync_timer_.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
          Sync(true);
        }
      });
    }
    return;
  }
  (wait ? syncing_ : news_open_) = true;
  const millis now = BootNow();
  wire::agent_sync sync;
  sync.set_agent(settings_.name);
  sync.set_incarnation(incarnation_);
  sync.set_number(++last_report_);
  sync.set_sent_at_ms(now);
  sync.set_epoch(epoch_);
  sync.set_wait(wait);
  sync.set_acked_order(acked_order_);
  if (!gone_.id.empty()) {
    *sync.mutable_gone() = ToWire(gone_);
  }
  // An executor that gives no lists may be gone: its runs must not count as
  // alive for as long as this process lives.
  const bool obeys = obeyed_epoch_ == epoch_ && epoch_ != 0 && runs_listed_ &&
                     now - listed_ < kListingFresh;
  if (obeys) {
    sync.set_obeys(true);
    *sync.mutable_worker() = ToWire(worker_);
    if (now - runs_told_ >= kRunsInterval && now - listed_ < kListingFresh) {
      sync.set_lists_runs(runs_complete_);
      sync.set_runs_age_ms(now - listed_);
      sync.set_listed_after_ms(asked_);
      sync.set_listed_before_ms(listed_);
      for (const run_status& status : runs_) {
        *sync.add_runs() = ToWire(status);
      }
      runs_told_ = now;
    }
    for (const ended_run& ended : ends_) {
      *sync.add_ends() = ToWire(ended);
      told_end_ = std::max(told_end_, ended.number);
    }
    for (const untold_start& started : starts_) {
      *sync.add_starts() = ToWire(started.result);
    }
    if (told_crashes_ < history_.CrashCount()) {
      for (const crashed_executor& crashed : history_.Crashes(now)) {
        *sync.add_crashes() = ToWire(crashed);
      }
    }
  }
  const std::uint64_t last_start = obeys ? last_start_ : 0;
  const std::uint64_t crashes = obeys ? history_.CrashCount() : 0;
  const executor_boot told_boot = obeys ? worker_.boot : executor_boot();
  CallOwnerService<wire::agent_sync, wire::agent_orders>(
      context_, peers_, address, kSyncMethod, std::move(sync), kSyncTimeout,
      [this, address, now, last_start, crashes, wait, told_boot, epoch = epoch_,
       gone = gone_](const result<wire::agent_orders>& reply) {
        (wait ? syncing_ : news_open_) = false;
        if (reply && reply.value().is_owner() && gone == gone_) {
          gone_ = executor_boot();
        }
        // An owner of another epoch has left the report aside.
        const bool was_read = reply && reply.value().epoch() == epoch;
        OnReply(reply, address, was_read ? told_boot : executor_boot(), now,
                was_read ? last_start : 0, was_read ? crashes : 0, wait);
      });
}

void job_agent_process::OnReply(const result<wire::agent_orders>& reply,
                                const std::string& address,
                                const executor_boot& told_boot,
                                millis asked,
                                std::uint64_t last_start,
                                std::uint64_t crashes,
                                bool wait) {
  millis pause = 0;
  if (!reply) {
    told_end_ = recorded_end_;
    runs_told_ = 0;
    if (address == locator_.Address()) {
      NoteOwner(false, address, ToString(reply.error()));
      locator_.Failed();
    }
    pause = kSyncRetry;
  } else {
    const wire::agent_orders& orders = reply.value();
    TakeEvacuations(orders);
    if (orders.epoch() > epoch_) {
      AdoptEpoch(orders.epoch());
    }
    if (!orders.is_owner()) {
      NoteOwner(false, address, "it does not own the jobs");
      told_end_ = recorded_end_;
      runs_told_ = 0;
      if (orders.owner_address().empty() || orders.owner_address() == address) {
        locator_.Failed();
      } else {
        locator_.Learn(orders.owner_address(), {});
      }
      pause = kSyncRetry;
    } else if (orders.epoch() == epoch_) {
      NoteOwner(true, address, "");
      owner_heard_ = std::max(owner_heard_, asked);
      told_crashes_ = std::max(told_crashes_, crashes);
      std::erase_if(starts_, [last_start](const untold_start& started) {
        return started.number <= last_start;
      });
      if (orders.grant_ms() > 0) {
        NoteGrantor(address);
        granted_until_ = std::max(granted_until_, asked + orders.grant_ms());
      }
      if (orders.wants_runs()) {
        runs_told_ = 0;
      }
      locator_.Learn(address,
                     {orders.entries().begin(), orders.entries().end()});
      TakeOrders(orders, told_boot, asked);
      ResumeStarts();
    } else {
      pause = kSyncRetry;
    }
  }
  if (wait) {
    sync_timer_.expires_after(std::chrono::milliseconds(pause));
    sync_timer_.async_wait([this](boost::system::error_code failure) {
      if (!failure) {
        Sync(true);
      }
    });
  }
  if (owner_answers_ && !news_open_ && std::exchange(news_waiting_, false)) {
    Sync(false);
  }
}

void job_agent_process::NoteOwner(bool answers,
                                  const std::string& address,
                                  const std::string& cause) {
  if (answers == owner_answers_) {
    return;
  }
  owner_answers_ = answers;
  LogEvent(kPart, answers ? "owner_regained" : "owner_lost",
           {{"address", address},
            {"cause", cause},
            {"epoch", epoch_},
            {"granted_for_ms", granted_until_ - BootNow()}},
           true);
}

// Logs whose grants extend the executor's lease, at a change of the owner or of
// its epoch and after a lapse.
void job_agent_process::NoteGrantor(const std::string& address) {
  const millis left = granted_until_ - BootNow();
  if (address == grantor_ && epoch_ == granted_epoch_ && left > 0) {
    return;
  }
  LogEvent(kPart, "granted",
           {{"executor", worker_.boot.id},
            {"owner", address},
            {"epoch", epoch_},
            {"former_owner", std::exchange(grantor_, address)},
            {"former_epoch", std::exchange(granted_epoch_, epoch_)},
            {"former_grant_left_ms", left},
            {"runs", static_cast<std::uint64_t>(runs_.size())}},
           true);
}

void job_agent_process::TakeEvacuations(const wire::agent_orders& reply) {
  if (!reply.has_evacuated()) {
    return;
  }
  const bool was_evacuated = evacuations_.IsEvacuated(worker_.data_centre);
  evacuations_.Update(FromWire(reply.evacuated()), BootNow());
  const bool is_evacuated = evacuations_.IsEvacuated(worker_.data_centre);
  if (is_evacuated == was_evacuated) {
    return;  // Another data centre.
  }
  LogEvent(kPart, "evacuation_changed",
           {{"id", worker_.data_centre},
            {"in_force", is_evacuated},
            {"revision", evacuations_.List().revision},
            {"epoch", reply.epoch()},
            {"runs", static_cast<std::uint64_t>(runs_.size())}},
           true);
}

void job_agent_process::AdoptEpoch(std::uint64_t epoch) {
  LogEvent(kPart, "epoch_adopted", {{"from", epoch_}, {"to", epoch}}, true);
  epoch_ = epoch;
  acked_order_ = 0;
  runs_told_ = 0;
  told_end_ = 0;
  told_crashes_ = 0;
  owner_heard_ = 0;
  starts_.clear();
  open_starts_.clear();
  open_stops_.clear();
  withdrawn_.clear();
  settled_.clear();
  hold_timer_.cancel();
  HoldAfter(0);
}

void job_agent_process::TakeOrders(const wire::agent_orders& reply,
                                   const executor_boot& told_boot,
                                   millis asked) {
  // Each boot numbers its ends from 1: a reply to a call that told a former
  // boot, or none, says nothing about the ends of this one.
  if (told_boot == worker_.boot && reply.recorded_end() > recorded_end_ &&
      obeyed_epoch_ == epoch_) {
    std::uint64_t listed = recorded_end_;
    for (const ended_run& ended : ends_) {
      listed = std::max(listed, ended.number);
    }
    recorded_end_ = std::max(
        recorded_end_,
        std::min({reply.recorded_end(), listed, LastReadableEnd(asked)}));
    std::erase_if(ends_, [this](const ended_run& ended) {
      return ended.number <= recorded_end_;
    });
  }
  // Orders name the executor's boot. Those that came before it is known would
  // be acknowledged and dropped.
  if (worker_.boot.id.empty()) {
    return;
  }
  std::vector<worker_order> orders;
  std::set<run_name> stopped;
  for (const wire::order& entry : reply.orders()) {
    if (entry.number() <= acked_order_) {
      continue;
    }
    acked_order_ = entry.number();
    auto order = FromWire(entry);
    if (!order) {
      LogEvent(kPart, "order_unreadable", {{"error", ToString(order.error())}},
               true);
      continue;
    }
    if (order.value().kind == order_kind::kStop) {
      stopped.emplace(order.value().task, order.value().run);
    }
    orders.push_back(std::move(order.value()));
  }
  for (worker_order& order : orders) {
    const bool is_stopped = stopped.count({order.task, order.run}) != 0;
    Carry(std::move(order), is_stopped);
  }
}

void job_agent_process::HandleOperator(const http_request& request,
                                       const http_responder& respond) {
  http_response response;
  if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    ShowAdmission(*admission_, metrics_);
    response.body = metrics_.Text();
  } else if (request.path == "/dump") {
    boost::json::array runs;
    for (const run_status& status : runs_) {
      runs.push_back(boost::json::object{{"task", status.task.ToString()},
                                         {"run", status.run},
                                         {"percent", status.percent}});
    }
    response.body = boost::json::serialize(boost::json::object{
        {"name", settings_.name},
        {"owner", locator_.Address()},
        {"epoch", epoch_},
        {"executor", worker_.boot.id},
        {"granted_for_ms", granted_until_ - BootNow()},
        {"evacuated", evacuations_.IsEvacuated(worker_.data_centre)},
        {"runs", std::move(runs)},
        {"unrecorded_ends", ends_.size()},
        {"open_starts", open_starts_.size()},
        {"open_stops", open_stops_.size()}});
  } else if (request.path == "/healthz") {
    response.status = epoch_ != 0 ? 200 : 503;
  } else {
    response = ErrorResponse(404, "no such page");
  }
  respond(response);
}

}  // namespace chervilkeel
