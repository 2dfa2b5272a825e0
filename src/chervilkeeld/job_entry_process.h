// The entry of jobs by request: serves callers, and owns all jobs while it
// holds the lease.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include <grpcpp/grpcpp.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "candidate_list.h"
#include "chervilkeel/http_server.h"
#include "chervilkeel/platform_adapter.h"
#include "config_follower.h"
#include "evacuation_follower.h"
#include "grant_right.h"
#include "job_front.h"
#include "job_owner.h"
#include "owner_election.h"
#include "process_admission.h"
#include "store_link.h"

namespace chervilkeel {

// What is known of another entry.
struct known_entry {
  millis heard = 0;
  millis answered = 0;               // When it was asked what follows.
  millis store_silent = 0;           // 0: its store answers.
  double processors = 0;             // What it may use, of a core.
  std::uint64_t config_version = 0;  // 0: it has none.
  bool leaving = false;
};

class job_entry_process {
 public:
  job_entry_process(boost::asio::io_context& context,
                    const process_settings& settings,
                    std::unique_ptr<platform_adapter> adapter);
  ~job_entry_process();
  job_entry_process(const job_entry_process&) = delete;
  job_entry_process& operator=(const job_entry_process&) = delete;

  result<void> Start();

  // Leaves gracefully: serves for the shutdown time, then answers what it has
  // taken. An owner keeps the jobs until another entry can take them. `done` is
  // called when the process may end.
  void Stop(std::function<void()> done);

  // Shared by all HTTP servers of the process.
  const std::shared_ptr<http_admission>& Admission() const {
    return admission_;
  }

  // Answers operators: /metrics, /dump, /healthz.
  void HandleOperator(const http_request& request,
                      const http_responder& respond);

 private:
  class rpc_server;

  // The largest body that the configuration allows now.
  std::uint64_t FrontBodyLimit() const;
  void RunAfter(millis delay, void (job_entry_process::*step)());
  // Takes no more requests, and lets those that it has come to their answers.
  void CloseFront();
  void EndWhenAnswered();
  // Returns the address of an entry that can take the jobs; empty if none is
  // known.
  std::string Successor() const;
  void ResignIfReplaceable();
  // Commits what is outstanding, then resigns.
  void GiveUpJobs(const std::string& cause);
  void Resign();
  void ReportDrained();
  void OnConfig(const std::shared_ptr<const deployed_config>& config);
  void ProbeStore();
  bool HasLostStore() const;
  // Whether no entry is known to reach the store.
  bool IsStoreAway() const;
  void Gossip();
  millis GossipInterval() const;
  void HandOverIfSlow();
  void AskFleet(const std::string& address);
  // Takes a newer configuration from another entry, unless the store can give
  // it.
  void FetchConfig(const std::string& address);
  void OnFleetReply(const std::string& address,
                    millis asked,
                    const result<wire::fleet_reply>& reply);
  void AnswerFleet(
      const held_call<wire::fleet_question, wire::fleet_reply>& call);
  void Ask(const wire::job_question& question,
           millis timeout,
           std::function<void(result<wire::job_reply>)> callback);
  // Stores which entries can be elected.
  void UpdateCandidates();
  std::set<std::string> LastingCandidates() const;
  // Returns on what the right to grant rests now.
  grant_basis GrantBasisNow();
  grant_basis FindGrantBasis();
  void NoteGrantBasis(grant_basis basis);
  // What the other candidates have said of the store, and how long ago.
  std::string DescribeCandidates() const;
  bool IsReady() const;
  bool FollowsEvacuations() const { return settings_.evacuation_time > 0; }
  void OfferEvacuations(const wire::evacuations& list);
  void OnEvacuations();
  boost::json::object DumpEvacuations() const;
  std::vector<std::string> LiveEntries() const;
  std::string Address() const;

  boost::asio::io_context& context_;
  const process_settings settings_;
  std::unique_ptr<platform_adapter> adapter_;
  store_link store_;
  process_metrics metrics_;
  rpc_peers peers_;
  std::unique_ptr<owner_election> election_;
  candidate_list candidates_;
  grant_right right_;
  std::unique_ptr<job_owner> owner_;
  std::unique_ptr<job_front> front_;
  std::unique_ptr<rpc_server> service_;
  std::unique_ptr<grpc::Server> grpc_;
  const std::shared_ptr<http_admission> admission_;
  std::shared_ptr<http_server> front_server_;
  std::shared_ptr<http_server> ready_server_;
  config_follower config_;
  evacuation_follower evacuations_;
  boost::asio::steady_timer gossip_timer_;
  boost::asio::steady_timer stop_timer_;
  std::map<std::string, known_entry> entries_;  // By address.
  bool leaving_ = false;
  bool is_giving_up_ = false;
  millis leaving_since_ = 0;
  millis answer_by_ = 0;  // Then requests are answered as far as they are.
  millis last_answers_at_ = 0;  // 0: they have not been given.
  std::function<void()> ended_;
  bool probing_ = false;
  bool is_fetching_config_ = false;  // From another entry.
  bool was_ready_ = false;
  bool handing_over_ = false;
  const millis started_at_;
  millis owner_since_ = 0;
  grant_basis basis_ = grant_basis::kNone;  // As last logged ...
  millis basis_since_ = 0;                  // ... and since when.
};

}  // namespace chervilkeel
