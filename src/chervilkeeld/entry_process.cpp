#include "entry_process.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "chervilkeel/http_drain.h"
#include "chervilkeel/log.h"
#include "chervilkeel/manifest_store.h"
#include "chervilkeel/wire_json.h"
#include "operator_reports.h"
#include "request_session.h"

namespace chervilkeel {

namespace json = boost::json;

namespace {

constexpr const char* kPart = "entry";
constexpr millis kReportTimeout = 1'000;
constexpr millis kDrainPoll = 20;
constexpr millis kReadyLimit = 10'000;
constexpr std::size_t kHistoryLimit = 50;

http_response JsonResponse(const json::value& body, unsigned status = 200) {
  return {status, json::serialize(body) + "\n", "application/json", {}};
}

unsigned StatusOf(error_code code) {
  switch (code) {
    case error_code::kInvalid:
      return 400;
    case error_code::kNotFound:
      return 404;
    case error_code::kConflict:
      return 409;
    case error_code::kUnavailable:
      return 503;
    case error_code::kUnknown:
      return 504;
  }
  return 500;
}

http_response FailureResponse(const error& failure) {
  return ErrorResponse(StatusOf(failure.code), ToString(failure));
}

json::array FindingsJson(const findings& found) {
  json::array list;
  for (const finding& entry : found) {
    list.push_back(
        json::object{{"place", entry.place}, {"message", entry.message}});
  }
  return list;
}

json::array NamesJson(const std::vector<std::string>& names) {
  json::array list;
  for (const std::string& name : names) {
    list.push_back(json::string(name));
  }
  return list;
}

json::value WireJson(const google::protobuf::Message& message) {
  return json::parse(ToJson(message));
}

}  // namespace

entry_process::entry_process(process_core& core,
                             boost::asio::io_context& context)
    : core_(core),
      context_(context),
      tables_(core),
      roster_(tables_),
      peer_(core, [this](wire::manifest_reply& reply) {
        const std::lock_guard lock(tables_.mutex);
        for (const auto& [cell, owner] : tables_.owners) {
          *reply.add_cells() = owner;
        }
      }) {}

result<void> entry_process::Start() {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(core_.RpcAddress(),
                           grpc::InsecureServerCredentials());
  builder.RegisterService(&peer_);
  server_ = builder.BuildAndStart();
  if (!server_) {
    return Fail(error_code::kUnavailable,
                "cannot serve gRPC on " + core_.RpcAddress());
  }
  roster_.Start();
  AwaitUpstreams();
  http_server_options options;
  options.listen = {core_.settings.address, core_.settings.client_port};
  options.body_limit = core_.settings.body_limit;
  options.connections = core_.settings.client_connections;
  options.admission = core_.admission;
  options.share = {"clients", kClientsPercent};
  clients_ = std::make_shared<http_server>(
      context_, options, [this](http_request request, http_responder respond) {
        HandleClient(std::move(request), std::move(respond));
      });
  return clients_->Start();
}

// Waits a while for a manifest and a usable upstream, so that the balancer
// sends no client to an entry that can't serve one yet. A process that is to
// end waits no longer.
void entry_process::AwaitUpstreams() {
  const millis until = MonotonicNow() + kReadyLimit;
  while (MonotonicNow() < until && !core_.stopping) {
    {
      const std::lock_guard lock(tables_.mutex);
      const millis now = MonotonicNow();
      for (const auto& [name, upstream] : tables_.upstreams.All()) {
        if (core_.manifests.Version() > 0 &&
            tables_.upstreams.Usable(upstream, now)) {
          return;
        }
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kDrainPoll));
  }
}

void entry_process::Stop() {
  LogInfo(kPart, "Draining.");
  tables_.leaving = true;
  clients_->Drain();
  // Serves on until the balancer has seen that /healthz fails.
  std::this_thread::sleep_for(
      std::chrono::milliseconds(core_.settings.leave_notice));
  tables_.draining = true;
  clients_->Stop();
  const millis until =
      MonotonicNow() + static_cast<millis>(core_.settings.drain_limit);
  // Looks after a pause only, so that requests on the connections that came
  // last have been read.
  do {
    std::this_thread::sleep_for(std::chrono::milliseconds(kDrainPoll));
  } while (MonotonicNow() < until &&
           (tables_.in_flight > 0 || clients_->InFlight() > 0));
  const std::uint64_t ended = EndOpenRequests(tables_);
  const std::uint64_t unanswered = AwaitAnswers(*clients_, kLastWriteTime);
  roster_.Stop();
  operators_.join();
  server_->Shutdown(std::chrono::system_clock::now() +
                    std::chrono::milliseconds(kReportTimeout));
  Log(unanswered > 0 ? log_level::kWarn : log_level::kInfo, kPart,
      "Drained; " + std::to_string(ended) +
          " requests answered at the limit, " + std::to_string(unanswered) +
          " not answered.");
}

void entry_process::HandleClient(http_request request, http_responder respond) {
  if (request.path == "/healthz") {
    const bool well = !tables_.leaving && core_.manifests.Version() > 0;
    respond(well ? JsonResponse(json::object{{"healthy", true}})
                 : ErrorResponse(
                       503, tables_.leaving ? "leaving" : "no manifest yet"));
    return;
  }
  if (request.path.rfind("/v1/request/", 0) != 0) {
    respond(ErrorResponse(
        404, "clients call /v1/request/SERVICE, not " + request.path));
    return;
  }
  std::make_shared<request_session>(context_, tables_, std::move(request),
                                    std::move(respond))
      ->Start();
}

void entry_process::Handle(const http_request& request,
                           const http_responder& respond) {
  if (request.path == "/dump") {
    respond({200, Dump(), "application/json", {}});
    return;
  }
  if (request.path == "/metrics") {
    (void)AnswerCommonCall(core_, request, respond);
    return;
  }
  boost::asio::post(
      operators_, [this, request, respond] { HandleSlowly(request, respond); });
}

void entry_process::HandleSlowly(const http_request& request,
                                 const http_responder& respond) {
  const bool post = request.method == "POST";
  if (request.path == "/v1/status") {
    respond(Status());
  } else if (request.path == "/v1/jobs") {
    respond(Jobs());
  } else if (request.path == "/v1/explain" &&
             !request.Query("subject").empty()) {
    respond(Explain(request.Query("subject")));
  } else if (request.path == "/v1/manifest" && !post) {
    respond(ShowManifest());
  } else if (request.path == "/v1/manifest" && post) {
    respond(Commit(request));
  } else if (request.path == "/v1/manifest/check" && post) {
    respond(Check(request));
  } else if (request.path == "/v1/manifest/history") {
    respond(History(request));
  } else {
    respond(ErrorResponse(
        404, "an entry has no call " + request.method + " " + request.path));
  }
}

std::vector<wire::jobs_reply> entry_process::AskOwnersForJobs() {
  std::vector<wire::cell_location> owners;
  {
    const std::lock_guard lock(tables_.mutex);
    for (const auto& [cell, owner] : tables_.owners) {
      owners.push_back(owner);
    }
  }
  std::vector<wire::jobs_reply> replies;
  for (const wire::cell_location& owner : owners) {
    const auto call = MakeCall<wire::jobs_request, wire::jobs_reply>(
        core_.peers.At(owner.address()), {}, kReportTimeout);
    const grpc::Status status =
        call->peer->owner->GetJobs(&call->context, call->request, &call->reply);
    if (!status.ok() || call->reply.outcome() != wire::report_accepted) {
      call->reply.Clear();
      call->reply.set_cell(owner.cell());
      call->reply.set_outcome(wire::report_not_owner);
    }
    replies.push_back(call->reply);
  }
  return replies;
}

http_response entry_process::Status() {
  json::object body;
  body["entry"] = core_.settings.name;
  body["manifest_version"] = core_.manifests.Version();
  json::array upstreams;
  {
    const std::lock_guard lock(tables_.mutex);
    const millis now = MonotonicNow();
    for (const auto& [name, upstream] : tables_.upstreams.All()) {
      json::object entry = WireJson(upstream.member).as_object();
      entry["cell"] = upstream.cell;
      entry["usable"] = tables_.upstreams.Usable(upstream, now);
      entry["heard_ms_ago"] = now - upstream.last_contact;
      upstreams.push_back(std::move(entry));
    }
  }
  body["upstreams"] = std::move(upstreams);
  json::array cells;
  for (wire::jobs_reply& reply : AskOwnersForJobs()) {
    reply.clear_jobs();
    cells.push_back(WireJson(reply));
  }
  body["cells"] = std::move(cells);
  return JsonResponse(body);
}

http_response entry_process::Jobs() {
  json::array cells;
  for (wire::jobs_reply& reply : AskOwnersForJobs()) {
    reply.clear_workers();
    reply.clear_repairs();
    cells.push_back(WireJson(reply));
  }
  return JsonResponse(json::object{{"cells", std::move(cells)}});
}

std::vector<std::string> entry_process::KnownProcesses() {
  std::set<std::string> addresses;
  {
    const std::lock_guard lock(tables_.mutex);
    for (const auto& [name, upstream] : tables_.upstreams.All()) {
      addresses.insert(upstream.member.address());
    }
    for (const auto& [cell, owner] : tables_.owners) {
      addresses.insert(owner.address());
    }
  }
  for (const endpoint& peer : core_.settings.entries) {
    addresses.insert(peer.ToString());
  }
  addresses.erase(core_.RpcAddress());
  return {addresses.begin(), addresses.end()};
}

// Joins the records of every process that can be reached, in order of time.
http_response entry_process::Explain(const std::string& subject) {
  std::vector<wire::decision_record> records =
      core_.decisions.FindBySubject(subject);
  wire::explain_request request;
  request.set_subject(subject);
  std::vector<std::string> silent;
  for (const std::string& address : KnownProcesses()) {
    const auto call = MakeCall<wire::explain_request, wire::explain_reply>(
        core_.peers.At(address), request, kReportTimeout);
    const grpc::Status status =
        call->peer->peer->Explain(&call->context, call->request, &call->reply);
    if (!status.ok()) {
      silent.push_back(address);
    }
    records.insert(records.end(), call->reply.records().begin(),
                   call->reply.records().end());
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const auto& left, const auto& right) {
                     return left.at_ms() < right.at_ms();
                   });
  json::array list;
  for (const auto& record : records) {
    list.push_back(WireJson(record));
  }
  return JsonResponse(json::object{{"subject", subject},
                                   {"records", std::move(list)},
                                   {"silent", NamesJson(silent)}});
}

http_response entry_process::ShowManifest() {
  manifest_store<key_value_store> manifests(*core_.store);
  const auto current = manifests.ReadRoot();
  if (!current) {
    return FailureResponse(current.error());
  }
  if (current.value().root.version() == 0) {
    return ErrorResponse(404, "no manifest has been committed");
  }
  const auto sections = manifests.ReadSections(current.value().root, {});
  if (!sections) {
    return FailureResponse(sections.error());
  }
  return JsonResponse(
      json::object{{"root", WireJson(current.value().root)},
                   {"manifest", json::parse(JoinSections(sections.value()))},
                   {"in_force_here", core_.manifests.Version()}});
}

http_response entry_process::History(const http_request& /*request*/) {
  manifest_store<key_value_store> manifests(*core_.store);
  const auto current = manifests.ReadRoot();
  if (!current) {
    return FailureResponse(current.error());
  }
  const wire::manifest_root& root = current.value().root;
  json::array list;
  if (root.version() > 0) {
    list.push_back(WireJson(root));
    const auto former = manifests.History(root.version() - 1, kHistoryLimit);
    if (!former) {
      return FailureResponse(former.error());
    }
    for (const auto& entry : former.value()) {
      list.push_back(WireJson(entry));
    }
  }
  return JsonResponse(json::object{{"versions", std::move(list)}});
}

http_response entry_process::Check(const http_request& request) {
  const manifest_reading reading = ReadManifest(request.body);
  return JsonResponse(json::object{{"findings", FindingsJson(reading.found)}},
                      reading.found.empty() ? 200 : 422);
}

http_response entry_process::Commit(const http_request& request) {
  manifest_commit commit;
  try {
    const json::object body = json::parse(request.body).as_object();
    commit.text = std::string(body.at("text").as_string());
    commit.author = std::string(body.at("author").as_string());
    commit.note = std::string(body.at("note").as_string());
    commit.operation = std::string(body.at("operation").as_string());
    commit.base_version = body.at("base_version").to_number<std::uint64_t>();
    commit.rebase = body.at("rebase").as_bool();
  } catch (const std::exception& failure) {
    return ErrorResponse(
        400, std::string("the commit cannot be read: ") + failure.what());
  }
  manifest_store<key_value_store> manifests(*core_.store);
  const auto committed = manifests.Commit(commit);
  if (!committed) {
    return FailureResponse(committed.error());
  }
  const commit_report& report = committed.value();
  unsigned status = 200;
  if (!report.found.empty()) {
    status = 422;
  } else if (!report.conflicts.empty()) {
    status = 409;
  } else {
    core_.decisions.Add("manifest",
                        "manifest@" + std::to_string(report.root.version()),
                        "committed for " + commit.author, commit.note);
  }
  return JsonResponse(json::object{{"version", report.root.version()},
                                   {"findings", FindingsJson(report.found)},
                                   {"conflicts", NamesJson(report.conflicts)},
                                   {"changed", NamesJson(report.changed)},
                                   {"rebased", report.rebased}},
                      status);
}

std::string entry_process::Dump() {
  json::object dump = DumpProcess(core_);
  dump["requests_in_flight"] = tables_.in_flight.load();
  dump["draining"] = tables_.leaving.load();
  const std::lock_guard lock(tables_.mutex);
  dump["retry_tokens"] = tables_.budget.Tokens();
  json::array owners;
  for (const auto& [cell, owner] : tables_.owners) {
    owners.push_back(WireJson(owner));
  }
  dump["owners"] = std::move(owners);
  json::array upstreams;
  for (const auto& [name, upstream] : tables_.upstreams.All()) {
    json::object entry = WireJson(upstream.member).as_object();
    entry["in_flight"] = upstream.in_flight;
    entry["learned_short_ms"] = upstream.short_ms;
    entry["learned_long_ms"] = upstream.long_ms;
    upstreams.push_back(std::move(entry));
  }
  dump["upstreams"] = std::move(upstreams);
  return json::serialize(dump);
}

}  // namespace chervilkeel
