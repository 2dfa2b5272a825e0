#include "job_entry_process.h"

#include <algorithm>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/json.hpp>

#include "chervilkeel/event_log.h"
#include "chervilkeel/http_drain.h"
#include "job_keys.h"
#include "job_wire.h"

namespace chervilkeel {

namespace {

constexpr const char* kPart = "entry";
constexpr millis kCallTimeout = 800;
constexpr millis kGossipInterval = 400;
constexpr millis kGossipTimeout = 350;
// Of an answer that holds the longest configuration, over 2 Mbit/s.
constexpr millis kFetchTimeout = 8'000;
// Up to so many others are asked in each interval; with more the interval
// grows, so that an entry's share does not grow with the fleet.
constexpr std::size_t kAskedAtOnce = 8;
constexpr millis kLeastTerm = 1'000;  // Of a slow owner, before it hands over.
constexpr double kMuchFaster = 2.0;   // Worth a change of owner.
constexpr millis kEntryGone = 3'000;  // An entry not heard is left out.
// An entry silent for so long is a candidate no more: longer than most cuts.
constexpr millis kCandidateGone = 10'000;
constexpr millis kPeerFresh = 1'000;  // What a peer said of itself.
constexpr millis kProbeTimeout = 400;
constexpr millis kDrainCheckInterval = 10;
// Part of kLastWriteTime: an owner that can't commit by then resigns all the
// same, so that the store hears of it before the process ends.
constexpr millis kLastCommitTime = 100;
// Before a configuration is known, and the most that one can allow.
constexpr std::uint64_t kFrontBodyLimit = 4U << 20U;
// A job is held as its text, as parsed, as a record and as the store's call.
constexpr std::uint64_t kJobCopies = 4;
// So many times in the time allowed for an evacuation the evacuations are
// listed anew, so that one that the watch has missed is still in force in time.
constexpr millis kListsInBound = 2;

// Whether an entry can be elected, by what it has said of itself.
bool CanOwn(const known_entry& entry) {
  return entry.answered > 0 && BootNow() - entry.answered < kPeerFresh &&
         !entry.leaving && entry.config_version > 0 && entry.store_silent == 0;
}

}  // namespace

// Takes calls on gRPC's threads and hands them to the io_context's thread.
class job_entry_process::rpc_server
    : public wire::job_owner_service::CallbackService {
 public:
  explicit rpc_server(job_entry_process& entry) : entry_(entry) {}

  grpc::ServerUnaryReactor* Sync(grpc::CallbackServerContext* context,
                                 const wire::agent_sync* request,
                                 wire::agent_orders* reply) override {
    return Post(sync_call{request, reply, context->DefaultReactor()},
                [this](const sync_call& call) {
                  const owner_view& view = entry_.election_->View();
                  call.reply->set_owner_address(view.address);
                  call.reply->set_epoch(view.epoch);
                  entry_.election_->Learn({"", call.request->epoch(), 0});
                  entry_.owner_->OnSync(call);
                });
  }

  grpc::ServerUnaryReactor* Ask(grpc::CallbackServerContext* context,
                                const wire::job_question* request,
                                wire::job_reply* reply) override {
    return Post(ask_call{request, reply, context->DefaultReactor()},
                [this](const ask_call& call) { entry_.owner_->OnAsk(call); });
  }

  grpc::ServerUnaryReactor* Fleet(grpc::CallbackServerContext* context,
                                  const wire::fleet_question* request,
                                  wire::fleet_reply* reply) override {
    using fleet_call = held_call<wire::fleet_question, wire::fleet_reply>;
    return Post(fleet_call{request, reply, context->DefaultReactor()},
                [this](const fleet_call& call) { entry_.AnswerFleet(call); });
  }

 private:
  template <class call_type, class handler_type>
  grpc::ServerUnaryReactor* Post(call_type call, handler_type handler) {
    boost::asio::post(entry_.context_, [call, handler] { handler(call); });
    return call.reactor;
  }

  job_entry_process& entry_;
};

job_entry_process::job_entry_process(boost::asio::io_context& context,
                                     const process_settings& settings,
                                     std::unique_ptr<platform_adapter> adapter)
    : context_(context),
      settings_(settings),
      adapter_(std::move(adapter)),
      store_(adapter_->MakeStore(context, settings_.store)),
      candidates_(
          store_,
          Address(),
          [this](const std::string& reason) { election_->NoteLost(reason); }),
      right_(static_cast<millis>(settings.outage_grant)),
      admission_(MakeAdmission(settings_, metrics_)),
      config_(context, store_, *adapter_),
      evacuations_(
          context,
          store_,
          adapter_->EvacuationPrefix(),
          static_cast<millis>(settings_.evacuation_time) / kListsInBound),
      gossip_timer_(context),
      stop_timer_(context),
      started_at_(BootNow()) {
  owner_ = std::make_unique<job_owner>(
      context_, store_, metrics_, settings_, [this] { return GrantBasisNow(); },
      [this](const std::string& reason) { election_->NoteLost(reason); });
  election_ = std::make_unique<owner_election>(
      context_, store_,
      election_options{settings_.name, Address(),
                       static_cast<millis>(settings_.owner_ttl),
                       settings_.processors},
      [this](const ownership& won) {
        owner_since_ = BootNow();
        basis_ = grant_basis::kNone;
        basis_since_ = owner_since_;
        handing_over_ = false;
        right_.Begin(won.lease_requested_at);
        candidates_.Begin(won);
        for (const std::string& candidate : won.candidates) {
          if (candidate != Address()) {
            entries_[candidate];
          }
        }
        owner_->Begin(won);
      },
      [this](const std::string&) {
        owner_->End();
        candidates_.End();
        if (leaving_) {
          election_->Resign();  // It must not be elected again.
        }
      });
  front_ = std::make_unique<job_front>(
      context_, store_, metrics_, *adapter_, config_,
      [this](const wire::job_question& question, millis timeout,
             auto callback) { Ask(question, timeout, std::move(callback)); });
  config_.OnChange([this](const auto& config) { OnConfig(config); });
  front_->SetOutageCheck([this] { return IsStoreAway(); });
  if (FollowsEvacuations()) {
    owner_->SetEvacuations(evacuations_.State());
    evacuations_.OnChange([this] { OnEvacuations(); });
    OnEvacuations();
  }
}

job_entry_process::~job_entry_process() = default;

std::string job_entry_process::Address() const {
  return endpoint{settings_.address, settings_.rpc_port}.ToString();
}

result<void> job_entry_process::Start() {
  service_ = std::make_unique<rpc_server>(*this);
  grpc::ServerBuilder builder;
  builder.AddListeningPort(Address(), grpc::InsecureServerCredentials());
  builder.RegisterService(service_.get());
  grpc_ = builder.BuildAndStart();
  if (grpc_ == nullptr) {
    return Fail(error_code::kUnavailable, "cannot listen on " + Address());
  }
  http_server_options front;
  front.listen = settings_.job_front;
  front.body_limit = kFrontBodyLimit;
  front.present_body_limit = [this] { return FrontBodyLimit(); };
  front.admission = admission_;
  front.share = {"callers", kClientsPercent};
  front.copies_in_service = kJobCopies;
  front.takes_json = true;
  front_server_ = std::make_shared<http_server>(
      context_, front, [this](http_request request, http_responder respond) {
        front_->Handle(std::move(request), std::move(respond));
      });
  http_server_options ready;
  ready.listen = settings_.job_readiness;
  ready.body_limit = 0;
  ready.admission = admission_;
  ready.share = {"readiness", kReadinessPercent};
  ready_server_ = std::make_shared<http_server>(
      context_, ready, [this](const http_request& request, auto respond) {
        const bool is_ready = IsReady();
        if (is_ready != was_ready_) {
          was_ready_ = is_ready;
          LogEvent(kPart, is_ready ? "ready" : "not_ready",
                   {{"config", config_.Version()},
                    {"store_up", store_.IsUp()},
                    {"leaving", leaving_}},
                   true);
        }
        http_response response;
        response.status = !adapter_->IsReadinessCall(request) ? 404
                          : is_ready                          ? 200
                                                              : 503;
        respond(response);
      });
  for (const auto& server : {front_server_, ready_server_}) {
    const auto started = server->Start();
    if (!started) {
      return started.as_failure();
    }
  }
  for (const endpoint& seed : settings_.seeds) {
    const std::string address =
        endpoint{seed.address, settings_.rpc_port}.ToString();
    if (address != Address()) {
      entries_[address];
    }
  }
  election_->Start();
  config_.Start();
  if (FollowsEvacuations()) {
    evacuations_.Start();
  }
  Gossip();
  return boost::outcome_v2::success();
}

std::uint64_t job_entry_process::FrontBodyLimit() const {
  const auto& config = config_.Current();
  return config && config->max_body_bytes > 0 ? config->max_body_bytes
                                              : kFrontBodyLimit;
}

bool job_entry_process::IsReady() const {
  return !leaving_ && config_.Current() != nullptr;
}

void job_entry_process::Stop(std::function<void()> done) {
  leaving_ = true;
  leaving_since_ = BootNow();
  front_server_->Drain();
  // Callers go on using open connections. Without an owner their questions have
  // no answer and runs lapse, so the jobs stay here until another entry can
  // take them: all entries may be leaving.
  if (election_->IsOwner()) {
    ResignIfReplaceable();
    if (!is_giving_up_) {
      LogEvent(kPart, "keeps_jobs", {{"epoch", election_->View().epoch}}, true);
    }
  } else {
    election_->Resign();
  }
  ended_ = std::move(done);
  RunAfter(static_cast<millis>(settings_.shutdown_time),
           &job_entry_process::CloseFront);
}

void job_entry_process::RunAfter(millis delay,
                                 void (job_entry_process::*step)()) {
  stop_timer_.expires_after(std::chrono::milliseconds(delay));
  stop_timer_.async_wait([this, step](boost::system::error_code failure) {
    if (!failure) {
      (this->*step)();
    }
  });
}

void job_entry_process::CloseFront() {
  front_->Close();
  front_server_->Stop();
  answer_by_ = BootNow() + static_cast<millis>(settings_.answer_time);
  RunAfter(kDrainCheckInterval, &job_entry_process::EndWhenAnswered);
}

void job_entry_process::EndWhenAnswered() {
  const millis now = BootNow();
  if (now >= answer_by_ && last_answers_at_ == 0) {
    front_->AnswerAll();
    last_answers_at_ = now;
  }
  const bool gives_up = last_answers_at_ != 0;
  const bool is_answered = front_server_->InFlight() == 0;
  if (is_answered || gives_up) {
    GiveUpJobs("the process ends");
  }
  if (gives_up && now >= last_answers_at_ + kLastCommitTime) {
    Resign();
  }
  const bool has_ended =
      is_answered && !election_->IsOwner() && !election_->IsEndingLease();
  if (!has_ended && (!gives_up || now < last_answers_at_ + kLastWriteTime)) {
    RunAfter(kDrainCheckInterval, &job_entry_process::EndWhenAnswered);
    return;
  }
  ReportDrained();
  ended_();
}

std::string job_entry_process::Successor() const {
  for (const auto& [address, entry] : entries_) {
    if (CanOwn(entry)) {
      return address;
    }
  }
  return "";
}

void job_entry_process::ResignIfReplaceable() {
  if (!leaving_ || !election_->IsOwner()) {
    return;
  }
  const std::string successor = Successor();
  if (!successor.empty()) {
    GiveUpJobs("entry " + successor + " can take them");
  }
}

void job_entry_process::GiveUpJobs(const std::string& cause) {
  if (is_giving_up_ || !election_->IsOwner()) {
    return;
  }
  is_giving_up_ = true;
  LogEvent(kPart, "gives_up_jobs",
           {{"epoch", election_->View().epoch}, {"cause", cause}}, true);
  owner_->Finish([this] { Resign(); });
}

void job_entry_process::Resign() {
  owner_->End();
  election_->Resign();
}

// Requests that the server holds and the front does not know were not read
// whole.
void job_entry_process::ReportDrained() {
  LogEvent(kPart, "drained",
           {{"unanswered", front_->InFlight()},
            {"requests_in_flight", front_server_->InFlight()},
            {"connections", front_server_->Connections()},
            {"owner", election_->View().address},
            {"took_ms", BootNow() - leaving_since_}},
           true);
  front_->ReportUnanswered();
}

void job_entry_process::OnConfig(
    const std::shared_ptr<const deployed_config>& config) {
  scheduling_config scheduling;
  scheduling.version = config->version;
  for (const queue_route& route : config->routes) {
    scheduling.queues[route.queue.name] = route.queue;
  }
  owner_->SetConfig(scheduling);
  election_->SetReady(!leaving_);
}

// Exchanges with the other entries who owns the jobs, which configuration is in
// force and whether the store answers.
void job_entry_process::Gossip() {
  for (const auto& [address, entry] : entries_) {
    AskFleet(address);
  }
  const std::string owner = election_->View().address;
  if (!owner.empty() && owner != Address() && entries_.count(owner) == 0) {
    entries_[owner];
  }
  UpdateCandidates();
  HandOverIfSlow();
  gossip_timer_.expires_after(std::chrono::milliseconds(GossipInterval()));
  gossip_timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Gossip();
    }
  });
}

// An entry that has lost the store needs fresh news of all others.
millis job_entry_process::GossipInterval() const {
  const std::size_t asked = HasLostStore() ? 0 : entries_.size();
  return kGossipInterval * static_cast<millis>(std::max<std::size_t>(
                               1, (asked + kAskedAtOnce - 1) / kAskedAtOnce));
}

// An owner on a slow VM leaves the jobs to a faster one: its work grows with
// the fleet.
void job_entry_process::HandOverIfSlow() {
  if (!owner_->IsActive() || handing_over_ || leaving_ || store_.IsLost() ||
      settings_.processors >= kOwnerProcessors ||
      BootNow() - owner_since_ < kLeastTerm) {
    return;
  }
  for (const auto& [address, entry] : entries_) {
    if (CanOwn(entry) &&
        entry.processors >= kMuchFaster * settings_.processors) {
      handing_over_ = true;
      owner_->Finish([this, faster = address] {
        election_->HandOver("entry " + faster + " has a faster VM");
      });
      return;
    }
  }
}

void job_entry_process::AskFleet(const std::string& address) {
  wire::fleet_question question;
  question.set_from(Address());
  question.set_config_version(config_.Version());
  question.set_store_lost(store_.IsLost());
  question.set_processors(settings_.processors);
  if (evacuations_.State()->IsKnown()) {
    *question.mutable_evacuated() = ToWire(evacuations_.State()->List());
  }
  CallOwnerService<wire::fleet_question, wire::fleet_reply>(
      context_, peers_, address, kFleetMethod, std::move(question),
      kGossipTimeout,
      [this, address,
       asked = BootNow()](const result<wire::fleet_reply>& reply) {
        OnFleetReply(address, asked, reply);
      });
}

void job_entry_process::OnFleetReply(const std::string& address,
                                     millis asked,
                                     const result<wire::fleet_reply>& reply) {
  if (!reply) {
    return;
  }
  known_entry& entry = entries_[address];
  entry.heard = BootNow();
  if (asked > entry.answered) {
    entry.answered = asked;
    entry.store_silent = reply.value().store_silent_ms();
    entry.processors = reply.value().processors();
    entry.config_version = reply.value().config_version();
    entry.leaving = reply.value().leaving();
  }
  election_->Learn(
      {reply.value().owner_address(), reply.value().epoch(), BootNow()});
  for (const std::string& other : reply.value().entries()) {
    if (other != Address()) {
      entries_[other];
    }
  }
  if (!reply.value().config().empty()) {
    config_.OfferFromPeer(reply.value().config());
  } else if (reply.value().config_version() > config_.Version() &&
             HasLostStore()) {
    FetchConfig(address);
  }
  if (reply.value().has_evacuated()) {
    OfferEvacuations(reply.value().evacuated());
  }
  owner_->SetEntries(LiveEntries());
  ResignIfReplaceable();
}

void job_entry_process::FetchConfig(const std::string& address) {
  if (std::exchange(is_fetching_config_, true)) {
    return;
  }
  wire::fleet_question question;
  question.set_config_version(config_.Version());
  question.set_store_lost(true);
  question.set_wants_config(true);
  CallOwnerService<wire::fleet_question, wire::fleet_reply>(
      context_, peers_, address, kFleetMethod, std::move(question),
      kFetchTimeout,
      [this, address,
       asked = BootNow()](const result<wire::fleet_reply>& reply) {
        is_fetching_config_ = false;
        LogEvent(kPart, "config_fetched",
                 {{"from", address},
                  {"outcome", reply ? "answered" : ToString(reply.error())},
                  {"bytes", static_cast<std::uint64_t>(
                                reply ? reply.value().config().size() : 0)},
                  {"took_ms", BootNow() - asked}},
                 true);
        if (reply && !reply.value().config().empty()) {
          config_.OfferFromPeer(reply.value().config());
        }
      });
}

void job_entry_process::OfferEvacuations(const wire::evacuations& list) {
  if (FollowsEvacuations()) {
    evacuations_.OfferFromPeer(FromWire(list));
  }
}

void job_entry_process::OnEvacuations() {
  metrics_.SetValue("evacuated_data_centres",
                    static_cast<double>(evacuations_.State()->Since().size()));
  owner_->AnnounceEvacuations();
}

boost::json::object job_entry_process::DumpEvacuations() const {
  const evacuation_state& state = *evacuations_.State();
  const auto runs = owner_->RunsInEvacuatedDataCentres();
  boost::json::array data_centres;
  for (const auto& [data_centre, since] : state.Since()) {
    boost::json::object entry{{"data_centre", data_centre},
                              {"since_ms", BootNow() - since}};
    if (const auto found = runs.find(data_centre); found != runs.end()) {
      entry["runs"] = found->second;
    }
    data_centres.emplace_back(std::move(entry));
  }
  return {{"known", state.IsKnown()},
          {"revision", state.List().revision},
          {"list_age_ms", evacuations_.ListAge()},
          {"data_centres", std::move(data_centres)}};
}

void job_entry_process::AnswerFleet(
    const held_call<wire::fleet_question, wire::fleet_reply>& call) {
  const owner_view& view = election_->View();
  call.reply->set_owner_address(view.address);
  call.reply->set_epoch(view.epoch);
  const bool has_store = !store_.IsLost() && store_.Silent() >= 0;
  call.reply->set_store_silent_ms(
      has_store ? 0 : std::max<millis>(store_.Silent(), 1));
  if (call.request->store_lost()) {
    ProbeStore();
  }
  call.reply->set_is_owner(owner_->IsActive());
  call.reply->set_processors(settings_.processors);
  call.reply->set_leaving(leaving_);
  const std::uint64_t version = config_.Version();
  call.reply->set_config_version(version);
  if (call.request->wants_config() &&
      version > call.request->config_version()) {
    call.reply->set_config(config_.Text());
  }
  if (call.request->has_evacuated()) {
    OfferEvacuations(call.request->evacuated());
  }
  if (evacuations_.State()->IsKnown()) {
    *call.reply->mutable_evacuated() = ToWire(evacuations_.State()->List());
  }
  for (const std::string& entry : LiveEntries()) {
    call.reply->add_entries(entry);
  }
  if (!call.request->from().empty()) {
    entries_[call.request->from()].heard = BootNow();
  }
  call.Finish();
}

// Another entry has lost the store: finds out whether this one has, too. Any
// short value will do.
void job_entry_process::ProbeStore() {
  if (probing_) {
    return;
  }
  probing_ = true;
  store_.Client().Read(
      kOwnerKey, kProbeTimeout,
      [this,
       asked = BootNow()](const result<std::optional<stored_item>>& item) {
        probing_ = false;
        store_.Note(item);
        metrics_.CountEvent("store_probes");
        LogEvent(kPart, "store_probed",
                 {{"outcome", item ? "answered" : ToString(item.error())},
                  {"took_ms", BootNow() - asked}});
      });
}

bool job_entry_process::HasLostStore() const {
  return store_.IsLost() ||
         (election_->IsOwner() && !election_->IsLeaseValid());
}

bool job_entry_process::IsStoreAway() const {
  const auto has_store = [](const auto& named) {
    const known_entry& entry = named.second;
    return entry.answered > 0 && BootNow() - entry.answered < kEntryGone &&
           entry.store_silent == 0;
  };
  return HasLostStore() &&
         std::none_of(entries_.begin(), entries_.end(), has_store);
}

std::vector<std::string> job_entry_process::LiveEntries() const {
  std::vector<std::string> live;
  if (!leaving_ || election_->IsOwner()) {
    live.push_back(Address());
  }
  for (const auto& [address, entry] : entries_) {
    if (entry.heard > 0 && BootNow() - entry.heard < kEntryGone) {
      live.push_back(address);
    }
  }
  return live;
}

// Lists an entry as soon as it is heard, and strikes one off that leaves or has
// been silent for long. Only an owner that reaches the store can do either.
void job_entry_process::UpdateCandidates() {
  const std::vector<std::string> live = LiveEntries();
  election_->SetKnownEntries({live.begin(), live.end()});
  if (!election_->IsOwner()) {
    return;
  }
  GrantBasisNow();
  if (election_->IsLeaseValid()) {
    candidates_.Store(LastingCandidates());
  }
}

std::set<std::string> job_entry_process::LastingCandidates() const {
  const std::set<std::string> listed = candidates_.Possible();
  std::set<std::string> lasting{Address()};
  for (const auto& [address, entry] : entries_) {
    const bool is_listed = listed.count(address) != 0;
    const millis heard =
        is_listed ? std::max(entry.heard, started_at_) : entry.heard;
    const millis longest_silence = is_listed ? kCandidateGone : kEntryGone;
    if (heard != 0 && !entry.leaving && BootNow() - heard < longest_silence) {
      lasting.insert(address);
    }
  }
  return lasting;
}

grant_basis job_entry_process::GrantBasisNow() {
  const grant_basis basis = FindGrantBasis();
  NoteGrantBasis(basis);
  return basis;
}

grant_basis job_entry_process::FindGrantBasis() {
  if (!election_->IsOwner()) {
    return grant_basis::kNone;
  }
  const millis now = BootNow();  // Before the lease is judged.
  if (election_->IsLeaseValid()) {
    return right_.Update(now, true, {}, true);
  }
  std::vector<candidate_answer> others;
  for (const std::string& address : candidates_.Possible()) {
    if (address != Address() && !candidates_.MayBeOpen()) {
      const known_entry& entry = entries_[address];
      // An entry that leaves is not elected.
      others.push_back(
          {entry.answered, entry.store_silent > 0 || entry.leaving});
    }
  }
  return right_.Update(now, false, others, owner_->HearsMostAgents());
}

void job_entry_process::NoteGrantBasis(grant_basis basis) {
  const millis now = BootNow();
  const grant_basis former = std::exchange(basis_, basis);
  if (former == basis) {
    return;
  }
  LogEvent(kPart, "grant_basis",
           {{"epoch", election_->View().epoch},
            {"from", NameOf(former)},
            {"to", NameOf(basis)},
            {"lasted_ms", now - std::exchange(basis_since_, now)},
            {"store_silent_ms", store_.Silent()},
            {"open_list", candidates_.MayBeOpen()},
            {"candidates", DescribeCandidates()}},
           true);
  metrics_.CountEvent(std::string("grant_basis_") + NameOf(basis));
}

std::string job_entry_process::DescribeCandidates() const {
  std::string text;
  for (const std::string& address : candidates_.Possible()) {
    const auto entry = entries_.find(address);
    if (entry == entries_.end()) {
      continue;  // This entry.
    }
    const known_entry& known = entry->second;
    text += (text.empty() ? "" : ",") + address;
    text += known.answered == 0
                ? "=never"
                : "=" + std::to_string(BootNow() - known.answered) + "ms" +
                      (known.leaving            ? ":leaving"
                       : known.store_silent > 0 ? ":lost"
                                                : ":up");
  }
  return text;
}

void job_entry_process::Ask(
    const wire::job_question& question,
    millis timeout,
    std::function<void(result<wire::job_reply>)> callback) {
  if (owner_->IsActive()) {
    // The same path as a remote question, without the network.
    wire::job_reply reply;
    owner_->AnswerQuestion(question, reply);
    callback(std::move(reply));
    return;
  }
  const std::string address = election_->View().address;
  if (address.empty() || address == Address()) {
    callback(Fail(error_code::kUnavailable, "no owner is known"));
    return;
  }
  CallOwnerService<wire::job_question, wire::job_reply>(
      context_, peers_, address, kAskMethod, question, timeout,
      std::move(callback));
}

void job_entry_process::HandleOperator(const http_request& request,
                                       const http_responder& respond) {
  http_response response;
  if (request.path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    ShowAdmission(*admission_, metrics_);
    response.body = metrics_.Text();
  } else if (request.path == "/dump") {
    boost::json::object dump{{"name", settings_.name},
                             {"owner", election_->View().address},
                             {"epoch", election_->View().epoch},
                             {"is_owner", owner_->IsActive()},
                             {"config_version", config_.Version()},
                             {"store_silent_ms", store_.Silent()},
                             {"requests_in_flight", front_->InFlight()}};
    boost::json::array entries;
    for (const std::string& entry : LiveEntries()) {
      entries.emplace_back(entry);
    }
    dump["entries"] = std::move(entries);
    if (FollowsEvacuations()) {
      dump["evacuations"] = DumpEvacuations();
    }
    dump["jobs"] = owner_->Dump();
    response.body = boost::json::serialize(dump);
  } else if (request.path == "/healthz") {
    response.status = IsReady() ? 200 : 503;
  } else {
    response = ErrorResponse(404, "no such page");
  }
  respond(response);
}

}  // namespace chervilkeel
