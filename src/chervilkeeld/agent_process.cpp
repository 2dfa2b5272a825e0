#include "agent_process.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/json.hpp>

#include "chervilkeel/log.h"
#include "chervilkeel/wire_json.h"
#include "operator_reports.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "agent";
constexpr millis kWorkerTimeout = 1'000;
constexpr millis kHeartbeatTimeout = 1'000;
constexpr int kSilentHeartbeats = 2;    // Until the owner counts as gone.
constexpr millis kCompeteJitter = 300;  // Spreads rival candidates.
constexpr millis kDrainPoll = 50;

millis RandomBelow(millis limit) {
  thread_local std::mt19937_64 random(std::random_device{}());
  return std::uniform_int_distribution<millis>(0, limit - 1)(random);
}

}  // namespace

agent_process::agent_process(process_core& core,
                             boost::asio::io_context& context)
    : core_(core),
      context_(context),
      seat_(core, [this] { ShortenRight(); }),
      runner_(core, context),
      peer_(core,
            [this](wire::manifest_reply& reply) { seat_.Locate(reply); }) {}

result<void> agent_process::Start() {
  auto worker = MakeWorker(core_.settings.worker_kind, core_.settings.worker,
                           kWorkerTimeout);
  if (!worker) {
    return worker.as_failure();
  }
  worker_ = std::move(worker.value());
  const auto described = worker_->Describe();
  if (!described) {
    return described.as_failure();
  }
  worker_instance_ = described.value().instance;
  agent_options options;
  options.name = core_.settings.name;
  options.capacity = described.value().capacity;
  options.slots = static_cast<std::uint32_t>(core_.settings.slots);
  options.executor_memory_mb =
      static_cast<std::int64_t>(core_.settings.executor_memory_mb);
  // Leases well below a tenure let a hold shrink back to tenures.
  options.worker_lease = std::min(
      options.worker_lease, static_cast<millis>(core_.settings.tenure) / 2);
  options = OptionsForPolicy(options, core_.settings.lean);
  tasks_ =
      std::make_unique<agent_core>(options, core_.decisions, MonotonicNow());
  grpc::ServerBuilder builder;
  builder.AddListeningPort(core_.RpcAddress(),
                           grpc::InsecureServerCredentials());
  builder.SetMaxReceiveMessageSize(-1);
  // A process that holds the port is the only agent of this VM.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.RegisterService(&seat_);
  builder.RegisterService(&runner_);
  builder.RegisterService(&peer_);
  server_ = builder.BuildAndStart();
  if (!server_) {
    return Fail(error_code::kUnavailable,
                "cannot serve gRPC on " + core_.RpcAddress());
  }
  AskEntries();
  runner_.SetWake([this] { worker_loop_.Wake(); });
  runner_.Start();
  seat_.Start();
  worker_loop_.Start(static_cast<millis>(core_.settings.worker_interval),
                     [this] { WorkerStep(); });
  heartbeat_loop_.Start(static_cast<millis>(core_.settings.heartbeat),
                        [this] { HeartbeatStep(); });
  return boost::outcome_v2::success();
}

void agent_process::WorkerStep() {
  const auto demand = runner_.ReserveSlots(MonotonicNow());
  std::vector<worker_action> actions;
  {
    const std::lock_guard lock(mutex_);
    const millis now = MonotonicNow();
    tasks_->OnRequests(demand.times, demand.slots_in_use, now);
    actions = tasks_->Tick(demand.wanted_slots, now);
  }
  const millis asked_at = MonotonicNow();
  const auto listed = worker_->Act(actions);
  if (!listed) {
    LogWarn(kPart,
            "The worker does not answer; " + ToString(listed.error()) + ".");
    return;
  }
  std::size_t ended = 0;
  {
    const std::lock_guard lock(mutex_);
    tasks_->OnWorkerTasks(listed.value(), asked_at);
    runner_.SetGrantedSlots(tasks_->GrantedSlots());
    core_.metrics.SetValue("requests_slowdown",
                           tasks_->Colocation().MeasuredSlowdown());
    core_.metrics.SetValue("effect_budget", tasks_->Colocation().Budget());
    core_.metrics.SetValue("tasks_listed",
                           static_cast<double>(listed.value().size()));
    core_.metrics.SetValue("evictions",
                           static_cast<double>(tasks_->Evictions()));
  }
  for (const worker_task& task : listed.value()) {
    ended += task.state != worker_task_state::kRunning ? 1 : 0;
  }
  // An end is reported at once; what waits for its acknowledgement is not.
  if (!worker_listed_.exchange(true) || ended > ended_tasks_) {
    heartbeat_loop_.Wake();
  }
  ended_tasks_ = ended;
}

void agent_process::HeartbeatStep() {
  if (!worker_listed_) {
    return;  // A report must name what an earlier process left running.
  }
  const std::string owner = seat_.OwnerAddress();
  if (owner.empty()) {
    OnOwnerSilent();
    return;
  }
  SendHeartbeat(owner);
}

void agent_process::SendHeartbeat(const std::string& owner) {
  wire::agent_report report;
  report.set_agent(core_.settings.name);
  report.set_incarnation(core_.incarnation);
  report.set_sequence(++report_sequence_);
  report.set_address(core_.RpcAddress());
  report.set_worker_address(core_.settings.worker.ToString());
  report.set_worker_instance(worker_instance_);
  report.set_data_centre(core_.settings.data_centre);
  report.set_rack(core_.settings.rack);
  report.set_manifest_version(core_.manifests.Version());
  runner_.FillLoad(*report.mutable_load());
  {
    const std::lock_guard lock(mutex_);
    tasks_->FillReport(report);
    *report.mutable_effects() = tasks_->TakeEffectSample();
  }
  const auto call = MakeCall<wire::agent_report, wire::owner_reply>(
      core_.peers.At(owner), std::move(report), kHeartbeatTimeout);
  // A grant counts from this instant, which lies before the owner's answer.
  const millis sent_at = MonotonicNow();
  const grpc::Status status =
      call->peer->owner->Heartbeat(&call->context, call->request, &call->reply);
  core_.metrics.CountEvent("heartbeats");
  if (status.ok() && call->reply.outcome() == wire::report_accepted) {
    TakeReply(call->reply, owner, sent_at);
    if (!call->reply.lease_lapsed()) {
      failed_heartbeats_ = 0;
      return;
    }
  }
  if (++failed_heartbeats_ >= kSilentHeartbeats) {
    failed_heartbeats_ = 0;
    OnOwnerSilent();
  }
}

void agent_process::TakeReply(const wire::owner_reply& reply,
                              const std::string& owner,
                              millis sent_at) {
  {
    const std::lock_guard lock(mutex_);
    tasks_->OnReply(reply, sent_at, MonotonicNow());
  }
  core_.decisions.SetContext(core_.manifests.Version(), reply.epoch());
  if (reply.manifest_version() <= core_.manifests.Version()) {
    return;
  }
  const auto fetched = FetchManifest(core_, owner);
  if (!fetched) {
    LogWarn(kPart,
            "Fetching the manifest failed; " + ToString(fetched.error()) + ".");
    return;
  }
  seat_.OnManifest();
}

// Looks for the owner in the store, or takes the cell over. A random pause
// spreads the candidates, so that most find the owner that the first made.
void agent_process::OnOwnerSilent() {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(RandomBelow(kCompeteJitter)));
  seat_.Compete();
  AskEntries();
}

// The owner after this one waits one tenure for this agent, so it must not go
// on under a hold of the owner before.
void agent_process::ShortenRight() {
  const std::lock_guard lock(mutex_);
  tasks_->ShortenRight(static_cast<millis>(core_.settings.tenure),
                       MonotonicNow());
}

// Learns the manifest and the owner from entries, which may know them while
// the store is down.
void agent_process::AskEntries() {
  for (const endpoint& entry : core_.settings.entries) {
    const auto fetched = FetchManifest(core_, entry.ToString());
    if (!fetched) {
      continue;
    }
    for (const auto& location : fetched.value().cells()) {
      seat_.LearnOwner(location);
    }
    seat_.OnManifest();
    return;
  }
}

bool agent_process::Drained() {
  const std::lock_guard lock(mutex_);
  return tasks_->Drained() && runner_.Inside() == 0;
}

void agent_process::Stop() {
  LogInfo(kPart, "Draining.");
  runner_.Drain();
  {
    const std::lock_guard lock(mutex_);
    tasks_->Drain();
  }
  heartbeat_loop_.Wake();
  const millis until =
      MonotonicNow() + static_cast<millis>(core_.settings.drain_limit);
  // Entries need a moment to learn from the roster that this upstream leaves.
  const millis settled =
      MonotonicNow() + 3 * static_cast<millis>(core_.settings.heartbeat);
  while (MonotonicNow() < until && !(Drained() && MonotonicNow() >= settled)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kDrainPoll));
  }
  heartbeat_loop_.Stop();
  worker_loop_.Stop();
  seat_.Stop();
  server_->Shutdown(std::chrono::system_clock::now() +
                    std::chrono::milliseconds(kHeartbeatTimeout));
  LogInfo(kPart, "Drained.");
}

std::string agent_process::Dump() {
  wire::agent_report report;
  boost::json::object dump = DumpProcess(core_);
  {
    const std::lock_guard lock(mutex_);
    tasks_->FillReport(report);
    dump["right_left_ms"] = tasks_->GrantExpiry() - MonotonicNow();
    dump["granted_slots"] = tasks_->GrantedSlots();
    dump["evictions"] = tasks_->Evictions();
    dump["requests_slowdown"] = tasks_->Colocation().MeasuredSlowdown();
    dump["effect_budget"] = tasks_->Colocation().Budget();
  }
  runner_.FillLoad(*report.mutable_load());
  dump["worker"] = boost::json::parse(ToJson(report));
  dump["requests_inside"] = runner_.Inside();
  dump["owner_address"] = seat_.OwnerAddress();
  const std::string owned = seat_.Dump();
  dump["owned_cell"] =
      owned.empty() ? boost::json::value() : boost::json::parse(owned);
  return boost::json::serialize(dump);
}

void agent_process::Handle(const http_request& request,
                           const http_responder& respond) {
  if (request.path == "/dump") {
    respond({200, Dump(), "application/json", {}});
    return;
  }
  if (!AnswerCommonCall(core_, request, respond)) {
    respond(ErrorResponse(404, "an agent has no call " + request.path +
                                   "; it has /dump, /metrics, /v1/explain"));
  }
}

}  // namespace chervilkeel
