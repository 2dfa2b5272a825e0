// The worker plug-in "http": JSON over HTTP.
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "chervilkeel/http_client.h"
#include "chervilkeel/worker.h"

namespace chervilkeel {

namespace {

namespace json = boost::json;

json::object WriteAction(const worker_action& action) {
  json::object object{{"action", NameOf(action.kind)}, {"task", action.task}};
  switch (action.kind) {
    case worker_action_kind::kStart:
      object["lease_until"] = action.lease_until;
      object["milli_processors"] = action.assignment.need().milli_processors();
      object["memory_mb"] = action.assignment.need().memory_mb();
      object["accelerators"] = action.assignment.need().accelerators();
      object["run_ms"] = action.assignment.run_ms();
      object["class"] = action.assignment.task_class();
      object["checkpoint"] = action.assignment.checkpoint();
      break;
    case worker_action_kind::kRenew:
      object["lease_until"] = action.lease_until;
      break;
    case worker_action_kind::kThrottle:
      object["share"] = action.share;
      break;
    default:
      break;
  }
  return object;
}

amount ReadAmount(const json::object& object) {
  return {object.at("milli_processors").to_number<std::int64_t>(),
          object.at("memory_mb").to_number<std::int64_t>(),
          object.at("accelerators").to_number<std::int64_t>()};
}

worker_task ReadTask(const json::object& object) {
  worker_task task;
  task.task = std::string(object.at("task").as_string());
  const std::string state(object.at("state").as_string());
  for (const auto& entry : kWorkerTaskStateNames) {
    if (state == entry.name) {
      task.state = entry.state;
    }
  }
  task.need = ReadAmount(object);
  task.share = object.at("share").to_number<double>();
  task.progress_ms = object.at("progress_ms").to_number<millis>();
  task.checkpoint = std::string(object.at("checkpoint").as_string());
  task.reason = std::string(object.at("reason").as_string());
  return task;
}

class http_worker : public worker_platform {
 public:
  http_worker(endpoint peer, millis timeout)
      : client_(std::move(peer)), timeout_(timeout) {}

  result<worker_description> Describe() override {
    http_call call;
    call.method = "GET";
    call.target = "/v1/worker";
    return Read<worker_description>(call, [](const json::object& object) {
      return worker_description{ReadAmount(object),
                                std::string(object.at("instance").as_string())};
    });
  }

  result<std::vector<worker_task>> Act(
      const std::vector<worker_action>& actions) override {
    json::array list;
    for (const worker_action& action : actions) {
      list.push_back(WriteAction(action));
    }
    http_call call;
    call.target = "/v1/actions";
    call.body = json::serialize(json::object{{"actions", std::move(list)}});
    return Read<std::vector<worker_task>>(call, [](const json::object& object) {
      std::vector<worker_task> tasks;
      for (const json::value& task : object.at("tasks").as_array()) {
        tasks.push_back(ReadTask(task.as_object()));
      }
      return tasks;
    });
  }

 private:
  template <class value_type, class reader_type>
  result<value_type> Read(const http_call& call, reader_type read) {
    const auto response = client_.Call(call, timeout_);
    if (!response) {
      return response.as_failure();
    }
    if (response.value().status != 200) {
      return Fail(error_code::kUnavailable,
                  "worker call " + call.target + ": " +
                      response.value().body.substr(0, 200));
    }
    try {
      return read(json::parse(response.value().body).as_object());
    } catch (const std::exception& failure) {
      return Fail(error_code::kUnknown,
                  "worker answer to " + call.target + ": " + failure.what());
    }
  }

  http_client client_;
  const millis timeout_;
};

[[maybe_unused]] const bool kRegistered =
    RegisterWorker("http", [](endpoint peer, millis timeout) {
      return std::make_unique<http_worker>(std::move(peer), timeout);
    });

}  // namespace

}  // namespace chervilkeel
