#include "cell_run.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chervilkeel::bench {

namespace {

constexpr double kMilli = 1000.0;
constexpr double kMicro = 1e6;
constexpr double kHopSeconds = 0.0005;  // Between entry and agent.
constexpr double kTickSeconds = 0.2;    // The daemon's worker interval.
constexpr double kWakeSeconds = 0.002;  // A call to the worker.
constexpr double kHeartbeatSeconds = 0.5;
constexpr double kOwnerTickSeconds = 0.2;
constexpr double kSplitUtilisation = 0.7;  // Of the slots, at the crest.
constexpr std::uint32_t kTasksOfAJob = 4'000;
constexpr millis kStart = 1'000'000;  // The clock when a run begins.
constexpr millis kLease = 5'000;
constexpr std::size_t kMostAttempts = 2;
constexpr double kCrestShare = 0.99;
constexpr double kAnySlowdown = 1e6;  // A tolerance that allows it.

double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

}  // namespace

const char* NameOf(policy_kind kind) {
  for (const policy_name& entry : kPolicyNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "?";
}

cell_run::cell_run(const house_scenario& house,
                   policy_kind policy,
                   std::uint64_t seed)
    : house_(house), policy_(policy), random_(seed), policy_random_(seed + 1) {
  const manifest value = MakeManifest();
  if (policy_ == policy_kind::kFirstFit) {
    first_fit_ = std::make_unique<first_fit_owner>(value);
  }
  cell_state state;
  wire::journal_record fence;
  fence.set_sequence(1);
  fence.set_epoch(1);
  (void)state.Apply(fence);
  owner_ = std::make_unique<cell_owner>("cell", 1, "", "", std::move(state),
                                        owner_options(), log_, Now());
  owner_->OnManifest(value, 1);
  MakeNodes(seed);
  for (std::size_t i = 0; i < kEntries; ++i) {
    upstream_options options;
    options.data_centre = "dc-" + std::to_string(i);
    entries_.emplace_back(options, seed + i);
    open_[i].resize(nodes_.size(), 0);
  }
}

// How many machines a static split gives to requests, so that their crest
// fits.
std::size_t cell_run::UrgentWorkers() const {
  double slots = 0;
  for (const request_stream& stream : house_.streams) {
    slots += stream.per_second * kCrestFactor * stream.median_ms / kMilli;
  }
  return static_cast<std::size_t>(
      std::ceil(slots / (kSplitUtilisation * house_.slots)));
}

void cell_run::MakeNodes(std::uint64_t seed) {
  for (std::uint32_t i = 0; i < house_.workers; ++i) {
    node place;
    place.name = "agent-" + std::to_string(i);
    place.worker = std::make_unique<worker_fake>(house_, seed);
    agent_options options;
    options.name = place.name;
    options.capacity = {house_.milli_processors, house_.memory_mb, 0};
    options.slots = house_.slots;
    options = OptionsForPolicy(options, house_.lean);
    if (policy_ == policy_kind::kNoControl) {
      options.colocation.low_load_tolerance = kAnySlowdown;
      options.colocation.peak_tolerance = kAnySlowdown;
    }
    place.agent = std::make_unique<agent_core>(options, log_,
                                               Now() - options.worker_lease);
    admission_options admission;
    admission.slots = house_.slots;
    admission.connections = house_.connections;
    place.admission = std::make_unique<slot_admission>(admission);
    if (policy_ == policy_kind::kStaticSplit) {
      place.serves_requests = i < UrgentWorkers();
      place.runs_batch = !place.serves_requests;
    }
    nodes_.push_back(std::move(place));
  }
}

manifest cell_run::MakeManifest() const {
  manifest value;
  value.house = house_.name;
  value.cells = {"cell"};
  if (policy_ == policy_kind::kNoBatch) {
    return value;
  }
  for (const batch_class& kind : house_.classes) {
    wire::job_specification job;
    job.set_name(kind.name + "@1");
    job.set_task_class(kind.name);
    job.set_tasks(kTasksOfAJob);
    job.mutable_need()->set_milli_processors(kind.milli_processors);
    job.mutable_need()->set_memory_mb(kind.memory_mb);
    job.set_run_ms(static_cast<std::uint64_t>(kind.declared_seconds * kMilli));
    job.set_max_failures(3);
    job.set_team(kind.name);
    value.jobs[job.name()] = job;
    // Teams with like quotas, so that each gets its share of the machines.
    team_specification team;
    team.name = kind.name;
    team.quota = {std::int64_t{house_.milli_processors} * house_.workers,
                  std::int64_t{house_.memory_mb} * house_.workers, 0};
    value.teams[team.name] = team;
  }
  return value;
}

// Says whether slots have to be granted by the agent.
bool cell_run::Controls() const {
  return policy_ != policy_kind::kNoControl &&
         policy_ != policy_kind::kBatchOnly;
}

millis cell_run::Now() const {
  return kStart + static_cast<millis>(at_ * kMilli);
}

void cell_run::Push(double at, event_kind kind, std::size_t index) {
  events_.push({at, ++order_, kind, index});
}

run_figures cell_run::Run() {
  OwnerTick();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const double offset = static_cast<double>(i) / kMilli;
    Push(offset, event_kind::kHeartbeat, i);
    Push(offset + kTickSeconds, event_kind::kAgentTick, i);
  }
  Push(kOwnerTickSeconds, event_kind::kOwnerTick, 0);
  Push(1, event_kind::kSecond, 0);
  if (policy_ != policy_kind::kBatchOnly) {
    for (std::size_t i = 0; i < house_.streams.size(); ++i) {
      Push(1, event_kind::kArrival, i);
    }
  }
  while (!events_.empty() && events_.top().at < kRunSeconds) {
    const event next = events_.top();
    events_.pop();
    at_ = next.at;
    Handle(next);
  }
  for (node& place : nodes_) {
    place.worker->Advance(kRunSeconds);
    const worker_totals& totals = place.worker->Totals();
    figures_.batch_processor_seconds +=
        totals.useful_processor_seconds -
        place.at_warm_up.useful_processor_seconds;
    figures_.request_processor_seconds +=
        totals.request_processor_seconds -
        place.at_warm_up.request_processor_seconds;
    figures_.task_hours += totals.task_seconds / 3600;
    figures_.finished += totals.finished;
    figures_.over_size += totals.over_size;
    figures_.evictions += place.agent->Evictions();
  }
  figures_.mean_slowdown =
      slowdown_sum_ /
      std::max<double>(1, static_cast<double>(waits_ms_.size()));
  figures_.crest_p50_ms = Percentile(crest_ms_, 0.5);
  figures_.crest_p99_ms = Percentile(crest_ms_, kCrestShare);
  figures_.steady_p99_ms = Percentile(steady_ms_, kCrestShare);
  figures_.wait_p99_ms = Percentile(waits_ms_, kCrestShare);
  return figures_;
}

void cell_run::Handle(const event& next) {
  switch (next.kind) {
    case event_kind::kArrival:
      OnArrival(next.index);
      break;
    case event_kind::kReach:
      OnReach(next.index);
      break;
    case event_kind::kEnd:
      OnEnd(next.index);
      break;
    case event_kind::kReply:
      OnReply(next.index);
      break;
    case event_kind::kAgentTick:
      Tick(next.index);
      Push(at_ + kTickSeconds, event_kind::kAgentTick, next.index);
      break;
    case event_kind::kWakeTick:
      nodes_[next.index].wake_pending = false;
      Tick(next.index);
      break;
    case event_kind::kHeartbeat:
      Heartbeat(next.index);
      Push(at_ + kHeartbeatSeconds, event_kind::kHeartbeat, next.index);
      break;
    case event_kind::kOwnerTick:
      OwnerTick();
      Push(at_ + kOwnerTickSeconds, event_kind::kOwnerTick, 0);
      break;
    case event_kind::kSecond:
      CountSecond();
      Push(at_ + 1, event_kind::kSecond, 0);
      break;
  }
}

void cell_run::OnArrival(std::size_t stream) {
  const request_stream& source = house_.streams[stream];
  const double rate = source.per_second * DemandFactor(at_);
  Push(at_ + std::exponential_distribution<>(rate)(random_),
       event_kind::kArrival, stream);
  request item;
  item.stream = stream;
  item.entry = requests_.size() % kEntries;
  item.arrived = at_;
  double milliseconds = std::lognormal_distribution(std::log(source.median_ms),
                                                    source.sigma)(random_);
  constexpr double kStragglerFactor = 8;
  if (std::uniform_real_distribution<>()(random_) < source.straggler_share) {
    milliseconds *= kStragglerFactor;
  }
  item.alone_seconds = milliseconds / kMilli;
  item.ticket.id = requests_.size();
  item.ticket.duration = source.duration;
  item.ticket.expected_ms = source.declared_ms;
  item.ticket.deadline = Now() + source.deadline_ms;
  requests_.push_back(item);
  Route(requests_.size() - 1);
}

std::size_t cell_run::ChooseWorker(request& item) {
  if (policy_ == policy_kind::kRandomUpstream) {
    return policy_random_() % nodes_.size();
  }
  if (policy_ == policy_kind::kLeastConnections) {
    const auto& open = open_[item.entry];
    return static_cast<std::size_t>(std::min_element(open.begin(), open.end()) -
                                    open.begin());
  }
  const request_stream& source = house_.streams[item.stream];
  const auto choice = entries_[item.entry].Choose(
      source.duration, source.declared_ms, item.tried, Now());
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].name == choice.agent) {
      return i;
    }
  }
  return nodes_.size();
}

void cell_run::Route(std::size_t id) {
  request& item = requests_[id];
  item.worker = ChooseWorker(item);
  if (item.worker == nodes_.size()) {
    Refuse(id);
    return;
  }
  const std::string& name = nodes_[item.worker].name;
  item.tried.insert(name);
  entries_[item.entry].OnRequestSent(name);
  ++open_[item.entry][item.worker];
  Push(at_ + kHopSeconds, event_kind::kReach, id);
}

void cell_run::OnReach(std::size_t id) {
  request& item = requests_[id];
  item.reached = at_;
  node& place = nodes_[item.worker];
  if (policy_ == policy_kind::kFifo) {
    if (place.fifo.size() + place.fifo_busy >= house_.connections) {
      Push(at_ + kHopSeconds, event_kind::kReply, id);
      return;
    }
    place.fifo.push_back(id);
    PumpFifo(place);
    return;
  }
  Admit(id, place);
}

void cell_run::Admit(std::size_t id, node& place) {
  request& item = requests_[id];
  const admission_answer answer = place.admission->Offer(item.ticket, Now());
  if (answer.verdict == admission_verdict::kRun) {
    Launch(id, place);
  } else if (answer.verdict == admission_verdict::kRefused) {
    item.reply.set_outcome(wire::outcome_not_run);
    FillLoad(place, *item.reply.mutable_load());
    Push(at_ + kHopSeconds, event_kind::kReply, id);
  }
  Wake(item.worker);
}

// Asks for a control step at once when a request waits for processors.
void cell_run::Wake(std::size_t worker) {
  node& place = nodes_[worker];
  if (Controls() && !place.wake_pending &&
      place.admission->NeedsControlStep()) {
    place.wake_pending = true;
    Push(at_ + kWakeSeconds, event_kind::kWakeTick, worker);
  }
}

void cell_run::Launch(std::size_t id, node& place) {
  request& item = requests_[id];
  item.started = at_;
  const double seconds = place.worker->StartRequest(item.alone_seconds, at_);
  Push(at_ + seconds, event_kind::kEnd, id);
}

void cell_run::OnEnd(std::size_t id) {
  request& item = requests_[id];
  node& place = nodes_[item.worker];
  place.worker->EndRequest(at_);
  const double service_ms = (at_ - item.started) * kMilli;
  const request_stream& source = house_.streams[item.stream];
  item.reply.set_outcome(wire::outcome_answered);
  item.reply.set_service_us(static_cast<std::uint32_t>(service_ms * kMilli));
  if (policy_ == policy_kind::kFifo) {
    --place.fifo_busy;
    PumpFifo(place);
  } else {
    place.admission->OnRequestDone(item.ticket, service_ms);
    place.times.Add(source.name, service_ms);
    Pump(place);
  }
  FillLoad(place, *item.reply.mutable_load());
  Push(at_ + kHopSeconds, event_kind::kReply, id);
}

void cell_run::OnReply(std::size_t id) {
  request& item = requests_[id];
  const request_stream& source = house_.streams[item.stream];
  --open_[item.entry][item.worker];
  entries_[item.entry].OnRequestEnded(nodes_[item.worker].name, source.duration,
                                      &item.reply);
  if (item.reply.outcome() != wire::outcome_answered) {
    if (item.tried.size() < kMostAttempts) {
      item.reply.Clear();
      Route(id);
    } else {
      Refuse(id);
    }
    return;
  }
  if (source.duration != request_class::kShort ||
      item.arrived < kWarmUpSeconds) {
    return;
  }
  ++figures_.answered;
  const double latency = (at_ - item.arrived) * kMilli;
  (InCrest(item.arrived) ? crest_ms_ : steady_ms_).push_back(latency);
  waits_ms_.push_back((item.started - item.reached) * kMilli);
  slowdown_sum_ += item.reply.service_us() / kMicro / item.alone_seconds;
  second_.slowest_ms = std::max(second_.slowest_ms, latency);
}

// A refused request counts with its whole deadline.
void cell_run::Refuse(std::size_t id) {
  const request& item = requests_[id];
  const request_stream& source = house_.streams[item.stream];
  if (source.duration != request_class::kShort ||
      item.arrived < kWarmUpSeconds) {
    return;
  }
  ++figures_.refused;
  (InCrest(item.arrived) ? crest_ms_ : steady_ms_)
      .push_back(static_cast<double>(source.deadline_ms));
}

void cell_run::Pump(node& place) {
  const admission_step step = place.admission->Advance(Now());
  for (const std::uint64_t id : step.expired) {
    requests_[id].reply.set_outcome(wire::outcome_not_run);
    Push(at_ + kHopSeconds, event_kind::kReply, id);
  }
  for (const std::uint64_t id : step.start) {
    Launch(id, place);
  }
}

void cell_run::PumpFifo(node& place) {
  while (!place.fifo.empty() && place.fifo_busy < house_.slots) {
    const std::size_t id = place.fifo.front();
    place.fifo.pop_front();
    ++place.fifo_busy;
    Launch(id, place);
  }
}

void cell_run::Tick(std::size_t worker) {
  node& place = nodes_[worker];
  std::uint32_t wanted = 0;
  if (policy_ == policy_kind::kFifo ||
      (policy_ == policy_kind::kStaticSplit && place.serves_requests)) {
    wanted = house_.slots;
  } else if (Controls() && place.serves_requests) {
    wanted = place.admission->WantedSlots(Now());
    place.admission->SetGrantedSlots(
        std::min(wanted, place.admission->GrantedSlots()));
  }
  place.agent->OnRequests(place.times.Take(), place.admission->SlotsInUse(),
                          Now());
  const auto actions = place.agent->Tick(wanted, Now());
  place.agent->OnWorkerTasks(place.worker->Act(actions, at_), Now());
  if (Controls()) {
    place.admission->SetGrantedSlots(place.agent->GrantedSlots());
  }
  if (policy_ != policy_kind::kFifo) {
    Pump(place);
  }
}

void cell_run::FillLoad(const node& place, wire::upstream_load& load) const {
  load.set_slots(house_.slots);
  if (policy_ == policy_kind::kFifo) {
    load.set_busy_slots(place.fifo_busy);
    load.set_queued_short(static_cast<std::uint32_t>(place.fifo.size()));
    return;
  }
  load.set_busy_slots(place.admission->Busy());
  load.set_queued_short(static_cast<std::uint32_t>(
      place.admission->Queued(request_class::kShort)));
  load.set_queued_long(static_cast<std::uint32_t>(
      place.admission->Queued(request_class::kLong)));
}

void cell_run::Heartbeat(std::size_t worker) {
  node& place = nodes_[worker];
  wire::agent_report report;
  report.set_agent(place.name);
  report.set_incarnation(1);
  report.set_sequence(++place.reports);
  report.set_address(place.name + ":1");
  report.set_worker_instance(place.name);
  report.set_data_centre("dc-" + std::to_string(worker % kEntries));
  report.set_rack("rack-" + std::to_string(worker / 3));
  FillLoad(place, *report.mutable_load());
  place.agent->FillReport(report);
  *report.mutable_effects() = place.agent->TakeEffectSample();
  if (!place.runs_batch) {
    report.clear_capacity();
    report.clear_batch_room();
  }
  owner_->SetLeaseUntil(Now() + kLease);
  wire::owner_reply reply = owner_->OnReport(report, Now());
  if (first_fit_) {
    reply = first_fit_->OnReport(report);
  }
  place.agent->OnReply(reply, Now(), Now());
  if (worker + 1 == nodes_.size()) {
    TakeRosters();
  }
}

void cell_run::TakeRosters() {
  wire::roster_reply roster;
  owner_->FillRoster(roster, Now());
  wire::roster_reply shown = roster;
  shown.clear_members();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (const auto& member : roster.members()) {
      if (member.agent() == nodes_[i].name && nodes_[i].serves_requests) {
        *shown.add_members() = member;
      }
    }
  }
  for (upstream_table& entry : entries_) {
    entry.ApplyRoster(shown, Now());
  }
}

void cell_run::OwnerTick() {
  if (at_ >= kWarmUpSeconds && at_ < kWarmUpSeconds + kOwnerTickSeconds) {
    for (node& place : nodes_) {
      place.worker->Advance(at_);
      place.at_warm_up = place.worker->Totals();
    }
  }
  if (first_fit_) {
    return;
  }
  owner_->SetLeaseUntil(Now() + kLease);
  owner_->Tick(Now());
  while (owner_->NextRecord()) {
    (void)owner_->OnCommitted(Now());
  }
}

void cell_run::CountSecond() {
  for (const node& place : nodes_) {
    second_.batch_processors += place.worker->BatchProcessors();
  }
  figures_.seconds.push_back(second_);
  second_ = {};
}

}  // namespace chervilkeel::bench
