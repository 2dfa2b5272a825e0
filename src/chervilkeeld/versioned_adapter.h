// An adapter for tests of processes that serve callers.
#pragma once

#include <memory>
#include <sstream>
#include <string>

#include "chervilkeel/platform_adapter.h"

namespace chervilkeel {

// An adapter whose answers name their result, and whose configurations are a
// version and one queue.
class versioned_adapter : public platform_adapter {
 public:
  std::unique_ptr<coordination_store> MakeStore(
      boost::asio::io_context& /*context*/,
      const endpoint& /*peer*/) const override {
    return nullptr;
  }
  std::unique_ptr<task_executor> MakeExecutor(
      boost::asio::io_context& /*context*/,
      const endpoint& /*peer*/) const override {
    return nullptr;
  }
  std::string ConfigKey() const override { return "config"; }
  std::string EvacuationPrefix() const override { return "evacuations/"; }
  // Reads "VERSION PREFIX QUEUE".
  result<deployed_config> DecodeConfig(const std::string& text) const override {
    std::istringstream words(text);
    deployed_config config;
    queue_route route{"house", "", {}};
    if (!(words >> config.version >> route.prefix >> route.queue.name)) {
      return Fail(error_code::kInvalid, "bad configuration");
    }
    config.routes.push_back(route);
    return config;
  }
  job_call DecodeCall(const http_request& request) const override {
    return {request.method == "POST"     ? job_call_kind::kSubmit
            : request.method == "DELETE" ? job_call_kind::kCancel
            : request.method == "COUNT"  ? job_call_kind::kCount
                                         : job_call_kind::kState,
            "house", request.path, 2'000};
  }
  result<job_spec> DecodeJob(const std::string& body) const override {
    if (body == "bad") {
      return Fail(error_code::kInvalid, "bad job");
    }
    job_spec spec;
    spec.steps.emplace_back();
    spec.steps[0].tasks = 1;
    return spec;
  }
  http_response EncodeAnswer(const job_answer& answer) const override {
    http_response response;
    response.body = NameOf(answer.result);
    return response;
  }
  bool IsReadinessCall(const http_request& /*request*/) const override {
    return false;
  }
  result<announcement> DecodeAnnouncement(
      const http_request& /*request*/) const override {
    return Fail(error_code::kInvalid, "no executors here");
  }
};

}  // namespace chervilkeel
