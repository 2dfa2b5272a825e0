#include "owner_seat.h"

#include <boost/asio/post.hpp>

#include "chervilkeel/log.h"
#include "chervilkeel/wire_json.h"
#include "chervilkeel/worker.h"
#include "owner_key.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "owner";
constexpr millis kStepInterval = 50;   // Between looks at the journal.
constexpr millis kTickInterval = 200;  // Between placements.
constexpr int kRecoverTries = 10;
constexpr millis kRetryPause = 100;
constexpr int kRenewalsInLease = 4;
constexpr millis kInquiryTimeout = 500;

grpc::ServerUnaryReactor* FinishNow(grpc::CallbackServerContext* context) {
  auto* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

}  // namespace

owner_seat::owner_seat(process_core& core, before_term_function before_term)
    : core_(core),
      before_term_(std::move(before_term)),
      cell_(core.settings.cell),
      journal_(*core.store, core.settings.cell) {}

owner_options owner_seat::Options() const {
  owner_options options;
  options.tenure = static_cast<millis>(core_.settings.tenure);
  options.hold = static_cast<millis>(core_.settings.hold);
  options.heartbeat_timeout = 3 * static_cast<millis>(core_.settings.heartbeat);
  return options;
}

void owner_seat::Start() {
  loop_.Start(kStepInterval, [this] { Step(); });
}

void owner_seat::Stop() {
  loop_.Stop();
  inquiries_.join();
  if (!IsOwner()) {
    return;
  }
  StepDown("the process is leaving");
  const auto deleted = core_.store->Delete(OwnerKey(cell_), owner_key_version_);
  if (!deleted) {
    LogWarn(kPart, "Giving up the lease of cell " + cell_ + " failed; " +
                       ToString(deleted.error()) + ".");
  }
}

bool owner_seat::IsOwner() const {
  const std::lock_guard lock(mutex_);
  return owner_ != nullptr;
}

void owner_seat::Compete() {
  compete_ = true;
  loop_.Wake();
}

std::string owner_seat::OwnerAddress() const {
  const std::lock_guard lock(mutex_);
  return location_.address();
}

void owner_seat::LearnOwner(const wire::cell_location& location) {
  const std::lock_guard lock(mutex_);
  if (location.cell() == cell_ && location.epoch() >= location_.epoch()) {
    location_ = location;
  }
}

void owner_seat::Locate(wire::manifest_reply& reply) const {
  const std::lock_guard lock(mutex_);
  if (!location_.address().empty()) {
    *reply.add_cells() = location_;
  }
}

void owner_seat::OnManifest() {
  const auto view = core_.manifests.View();
  const std::lock_guard lock(mutex_);
  core_.decisions.SetContext(view->root.version(), location_.epoch());
  if (owner_ && view->root.version() > 0) {
    owner_->OnManifest(view->value, view->root.version());
  }
}

void owner_seat::Step() {
  if (!IsOwner()) {
    if (compete_.exchange(false)) {
      TryTakeOver();
    }
    return;
  }
  const millis now = MonotonicNow();
  FetchWantedManifest();
  Renew(now);
  if (!IsOwner()) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    owner_->SetLeaseUntil(lease_until_);
    owner_->SetStoreReachable(store_reachable_);
    if (now - ticked_at_ >= kTickInterval) {
      ticked_at_ = now;
      owner_->Tick(now);
    }
  }
  AskWorkers();
  CommitPending(MonotonicNow());
}

// Asks the workers of silent agents how their tasks ended, off this thread, so
// that the loss of a rack doesn't hold up the lease.
void owner_seat::AskWorkers() {
  std::vector<worker_query> inquiries;
  std::uint64_t epoch = 0;
  {
    const std::lock_guard lock(mutex_);
    inquiries = owner_->TakeWorkerQueries();
    epoch = owner_->Epoch();
  }
  for (const worker_query& inquiry : inquiries) {
    boost::asio::post(inquiries_,
                      [this, inquiry, epoch] { AskWorker(inquiry, epoch); });
  }
}

void owner_seat::AskWorker(const worker_query& inquiry, std::uint64_t epoch) {
  std::optional<std::vector<worker_task>> tasks;
  endpoint peer;
  if (ParseEndpoint(inquiry.worker_address, peer)) {
    auto worker = MakeWorker(core_.settings.worker_kind, peer, kInquiryTimeout);
    if (worker) {
      auto listed = worker.value()->Act({});
      if (listed) {
        tasks = std::move(listed.value());
      }
    }
  }
  const std::lock_guard lock(mutex_);
  if (owner_ && owner_->Epoch() == epoch) {
    owner_->OnWorkerAnswer(inquiry.agent, std::move(tasks));
  }
}

void owner_seat::TryTakeOver() {
  const auto acquired = Acquire();
  if (!acquired) {
    if (acquired.error().code != error_code::kConflict) {
      LogWarn(kPart, "Taking over cell " + cell_ + " failed; " +
                         ToString(acquired.error()) + ".");
    }
    return;
  }
  before_term_();
  std::string former_owner;
  auto state = RecoverAndFence(former_owner);
  if (!state) {
    LogWarn(kPart, "Reading the journal of cell " + cell_ + " failed; " +
                       ToString(state.error()) + ".");
    (void)core_.store->Delete(OwnerKey(cell_), owner_key_version_);
    compete_ = true;
    return;
  }
  const std::uint64_t epoch = state.value().Epoch();
  const std::uint64_t sequence = state.value().Sequence();
  (void)PutOwnerKey(epoch);
  {
    const std::lock_guard lock(mutex_);
    owner_ = std::make_unique<cell_owner>(
        cell_, epoch, core_.settings.name, former_owner,
        std::move(state.value()), Options(), core_.decisions, MonotonicNow());
    owner_->SetLeaseUntil(lease_until_);
    location_.set_cell(cell_);
    location_.set_epoch(epoch);
    location_.set_address(core_.RpcAddress());
  }
  core_.decisions.Add("repair", "cell " + cell_, "took the cell over",
                      "nobody held its lease; epoch " + std::to_string(epoch));
  core_.metrics.CountEvent("takeovers");
  LogInfo(kPart, "Cell " + cell_ + " is owned here under epoch " +
                     std::to_string(epoch) + ", journal at " +
                     std::to_string(sequence) + ".");
  OnManifest();
}

// Takes the cell's lease; kConflict when somebody else holds it.
result<void> owner_seat::Acquire() {
  const auto held = core_.store->Get(OwnerKey(cell_));
  if (held) {
    wire::cell_location location;
    const auto read = FromJson(held.value().value, OwnerKey(cell_), location);
    if (!read) {
      return read.as_failure();
    }
    const std::lock_guard lock(mutex_);
    location_ = location;
    return Fail(error_code::kConflict, "owned by " + location.address());
  }
  if (held.error().code != error_code::kNotFound) {
    return held.as_failure();
  }
  const millis asked_at = MonotonicNow();
  const auto duration = static_cast<millis>(core_.settings.owner_lease);
  const auto lease = core_.store->GrantLease(duration);
  if (!lease) {
    return lease.as_failure();
  }
  lease_ = lease.value();
  lease_until_ = asked_at + duration;
  renewed_at_ = asked_at;
  owner_key_version_ = 0;
  return PutOwnerKey(0);
}

result<void> owner_seat::PutOwnerKey(std::uint64_t epoch) {
  wire::cell_location location;
  location.set_cell(cell_);
  location.set_epoch(epoch);
  location.set_address(core_.RpcAddress());
  const std::string text = ToJson(location);
  const auto put =
      core_.store->Put(OwnerKey(cell_), text, owner_key_version_, lease_);
  if (put) {
    owner_key_version_ = put.value();
    return boost::outcome_v2::success();
  }
  // A lost answer: the key holds this address only if this process wrote it,
  // and an earlier process at the address has gone with its lease.
  const auto found = core_.store->Get(OwnerKey(cell_));
  if (found && found.value().value == text) {
    owner_key_version_ = found.value().version;
    return boost::outcome_v2::success();
  }
  return put.as_failure();
}

// Reads the journal and appends a record under the next epoch, after which no
// former owner can append. Sets who the former owner was.
result<cell_state> owner_seat::RecoverAndFence(std::string& former_owner) {
  error last;
  for (int attempt = 0; attempt < kRecoverTries; ++attempt) {
    auto state = journal_.Recover();
    if (!state) {
      last = state.error();
      std::this_thread::sleep_for(std::chrono::milliseconds(kRetryPause));
      continue;
    }
    former_owner = state.value().Owner();
    wire::journal_record fence;
    fence.set_sequence(state.value().Sequence() + 1);
    fence.set_epoch(state.value().Epoch() + 1);
    fence.set_owner(core_.settings.name);
    fence.set_operation(core_.settings.name + "/" +
                        std::to_string(core_.incarnation) + "/fence/" +
                        std::to_string(++operations_));
    auto appended = journal_.Append(fence);
    if (!appended && appended.error().code != error_code::kConflict) {
      appended = journal_.Append(fence);
    }
    if (appended) {
      const auto applied = state.value().Apply(fence);
      if (!applied) {
        return applied.as_failure();
      }
      return state;
    }
    last = appended.error();
  }
  return boost::outcome_v2::failure(last);
}

void owner_seat::NoteStore(bool reachable) {
  if (reachable == store_reachable_) {
    return;
  }
  store_reachable_ = reachable;
  core_.decisions.Add(
      "repair", "cell " + cell_,
      reachable ? "went back to tenures" : "told agents to hold",
      reachable ? "the store answers again" : "the store does not answer");
  LogWarn(kPart, reachable ? "The store answers again."
                           : "The store does not answer; agents are to hold.");
}

void owner_seat::Renew(millis now) {
  const auto duration = static_cast<millis>(core_.settings.owner_lease);
  if (now - renewed_at_ < duration / kRenewalsInLease) {
    return;
  }
  const auto renewed = core_.store->RenewLease(lease_);
  if (renewed) {
    renewed_at_ = now;
    lease_until_ = now + duration;
    NoteStore(true);
  } else if (renewed.error().code == error_code::kNotFound) {
    NoteStore(true);
    StepDown("its lease has lapsed");
    compete_ = true;
  } else {
    NoteStore(false);
  }
}

void owner_seat::CommitPending(millis now) {
  if (!record_) {
    if (now - committed_at_ <
        static_cast<millis>(core_.settings.commit_interval)) {
      return;
    }
    const std::lock_guard lock(mutex_);
    record_ = owner_->NextRecord();
    if (!record_) {
      return;
    }
  }
  if (journal_.SnapshotNeeded(record_->sequence())) {
    SaveSnapshotIfDue();
    if (!IsOwner() || journal_.SnapshotNeeded(record_->sequence())) {
      return;
    }
  }
  committed_at_ = now;
  const auto appended = journal_.Append(*record_);
  core_.metrics.CountEvent("journal_writes");
  if (appended) {
    const wire::journal_record record = std::move(*record_);
    record_.reset();
    NoteStore(true);
    AfterCommit(record);
    SaveSnapshotIfDue();
  } else if (appended.error().code == error_code::kConflict) {
    StepDown("another owner has written: " + appended.error().message);
    compete_ = true;
  } else {
    NoteStore(false);
  }
}

void owner_seat::AfterCommit(const wire::journal_record& record) {
  std::vector<waiting_claim> granted;
  {
    const std::lock_guard lock(mutex_);
    const auto applied = owner_->OnCommitted(MonotonicNow());
    if (!applied) {
      LogError(kPart, "A journal record did not apply; " +
                          ToString(applied.error()) + ".");
    }
    for (const auto& change : record.changes()) {
      if (!change.has_claimed()) {
        continue;
      }
      const auto [first, last] =
          waiting_claims_.equal_range(change.claimed().key());
      for (auto claim = first; claim != last; ++claim) {
        granted.push_back(claim->second);
      }
      waiting_claims_.erase(first, last);
    }
  }
  core_.metrics.CountEvent("journal_changes", record.changes_size());
  for (const waiting_claim& claim : granted) {
    claim.reply->set_state(wire::claim_granted);
    claim.reactor->Finish(grpc::Status::OK);
  }
}

void owner_seat::SaveSnapshotIfDue() {
  cell_state state;
  {
    const std::lock_guard lock(mutex_);
    if (!journal_.SnapshotDue(owner_->State().Sequence())) {
      return;
    }
    state = owner_->State();
  }
  const auto saved = journal_.SaveSnapshot(
      state, core_.settings.name + "/" + std::to_string(core_.incarnation) +
                 "/snapshot/" + std::to_string(state.Sequence()));
  core_.metrics.SetValue("snapshot_bytes",
                         static_cast<double>(journal_.SnapshotBytes()));
  if (saved) {
    return;
  }
  LogWarn(kPart, "Writing the snapshot of cell " + cell_ + " failed; " +
                     ToString(saved.error()) + ".");
  if (saved.error().code == error_code::kConflict) {
    StepDown("another owner has written a snapshot");
    compete_ = true;
  }
}

void owner_seat::StepDown(const std::string& why) {
  std::multimap<std::string, waiting_claim> waiting;
  {
    const std::lock_guard lock(mutex_);
    owner_.reset();
    record_.reset();
    waiting.swap(waiting_claims_);
    location_.clear_address();
  }
  for (const auto& [key, claim] : waiting) {
    claim.reply->set_state(wire::claim_unavailable);
    claim.reply->set_reason("the cell's owner stepped down");
    claim.reactor->Finish(grpc::Status::OK);
  }
  core_.decisions.Add("repair", "cell " + cell_, "gave the cell up", why);
  LogWarn(kPart, "Cell " + cell_ + " is no longer owned here; " + why + ".");
}

void owner_seat::FetchWantedManifest() {
  std::string peer;
  {
    const std::lock_guard lock(mutex_);
    peer.swap(manifest_peer_);
  }
  if (peer.empty()) {
    return;
  }
  const auto fetched = FetchManifest(core_, peer);
  if (!fetched) {
    LogWarn(kPart,
            "Fetching the manifest failed; " + ToString(fetched.error()) + ".");
    return;
  }
  OnManifest();
}

grpc::ServerUnaryReactor* owner_seat::Heartbeat(
    grpc::CallbackServerContext* context,
    const wire::agent_report* request,
    wire::owner_reply* reply) {
  const millis now = MonotonicNow();
  {
    const std::lock_guard lock(mutex_);
    if (owner_) {
      *reply = owner_->OnReport(*request, now);
    } else {
      reply->set_outcome(wire::report_not_owner);
      reply->set_reason("this process does not own the cell");
    }
  }
  return FinishNow(context);
}

grpc::ServerUnaryReactor* owner_seat::GetRoster(
    grpc::CallbackServerContext* context,
    const wire::roster_request* request,
    wire::roster_reply* reply) {
  const std::uint64_t version = core_.manifests.Version();
  const std::lock_guard lock(mutex_);
  if (request->manifest_version() > version) {
    manifest_peer_ = request->address();
  }
  if (owner_) {
    owner_->FillRoster(*reply, MonotonicNow());
  } else {
    reply->set_outcome(wire::report_not_owner);
  }
  return FinishNow(context);
}

grpc::ServerUnaryReactor* owner_seat::ClaimRequest(
    grpc::CallbackServerContext* context,
    const wire::claim_request* request,
    wire::claim_reply* reply) {
  auto* reactor = context->DefaultReactor();
  bool answered = true;
  {
    const std::lock_guard lock(mutex_);
    if (!owner_) {
      reply->set_state(wire::claim_unavailable);
      reply->set_reason("this process does not own the cell");
    } else if (const auto known = owner_->Claim(*request, WallNow())) {
      *reply = *known;
    } else {
      waiting_claims_.emplace(request->key(), waiting_claim{reactor, reply});
      answered = false;
    }
  }
  if (answered) {
    reactor->Finish(grpc::Status::OK);
  } else {
    loop_.Wake();
  }
  return reactor;
}

grpc::ServerUnaryReactor* owner_seat::SettleRequest(
    grpc::CallbackServerContext* context,
    const wire::settlement* request,
    wire::settle_reply* reply) {
  {
    const std::lock_guard lock(mutex_);
    if (owner_) {
      owner_->Settle(*request);
      reply->set_recorded(true);
    }
  }
  return FinishNow(context);
}

grpc::ServerUnaryReactor* owner_seat::GetJobs(
    grpc::CallbackServerContext* context,
    const wire::jobs_request* /*request*/,
    wire::jobs_reply* reply) {
  {
    const std::lock_guard lock(mutex_);
    if (owner_) {
      owner_->FillJobs(*reply, MonotonicNow());
    } else {
      reply->set_outcome(wire::report_not_owner);
    }
  }
  return FinishNow(context);
}

std::string owner_seat::Dump() const {
  const std::lock_guard lock(mutex_);
  return owner_ ? ToJson(owner_->State().Snapshot()) : std::string();
}

}  // namespace chervilkeel
