// Serves callers: takes jobs in, tells their state, cancels and counts them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "chervilkeel/platform_adapter.h"
#include "metrics.h"
#include "owner_election.h"
#include "rpc_async.h"
#include "store_link.h"

namespace chervilkeel {

// One request of a caller. It lives until it is answered.
struct job_request {
  http_request request;
  http_responder respond;
  job_call call;
  std::string id;  // Of the job.
  std::string queue;
  std::string service;
  millis began = 0;
  millis until = 0;            // Answered by then.
  bool may_be_stored = false;  // A try without an answer may take effect.
  int tries = 0;
};

using job_request_ptr = std::shared_ptr<job_request>;

// Used on the io_context's thread only.
class job_front {
 public:
  // Asks the owner, wherever it is.
  using ask_function =
      std::function<void(const wire::job_question& question,
                         millis timeout,
                         std::function<void(result<wire::job_reply>)>)>;

  job_front(boost::asio::io_context& context,
            store_link& store,
            process_metrics& metrics,
            const platform_adapter& adapter,
            ask_function ask);

  void SetConfig(std::shared_ptr<const deployed_config> config) {
    config_ = std::move(config);
  }

  // Takes one request; `respond` is called exactly once.
  void Handle(http_request request, http_responder respond);

  std::uint64_t InFlight() const { return in_flight_; }

 private:
  const queue_route* FindRoute(const job_call& call) const;
  void Submit(const job_request_ptr& request, const queue_route& route);
  void Store(const job_request_ptr& request, const std::string& record);
  void OnStored(const job_request_ptr& request,
                const std::string& record,
                const result<transaction_outcome>& outcome);
  void State(const job_request_ptr& request);
  void StateFromStore(const job_request_ptr& request);
  void Cancel(const job_request_ptr& request);
  void CheckStored(const job_request_ptr& request);
  void StoreCancel(const job_request_ptr& request);
  void Count(const job_request_ptr& request);
  void Again(const job_request_ptr& request, std::function<void()> step);
  void Answer(const job_request_ptr& request,
              const job_answer& answer,
              const std::string& cause);

  boost::asio::io_context& context_;
  store_link& store_;
  process_metrics& metrics_;
  const platform_adapter& adapter_;
  const ask_function ask_;
  std::shared_ptr<const deployed_config> config_;
  std::uint64_t in_flight_ = 0;
};

}  // namespace chervilkeel
