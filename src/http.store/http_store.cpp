// The store plug-in "http": JSON over HTTP.
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "chervilkeel/http_client.h"
#include "chervilkeel/store.h"

namespace chervilkeel {

namespace {

namespace json = boost::json;

constexpr millis kWatchGrace = 1'000;  // Beyond the time a watch waits.

error MakeError(const http_response& response, const std::string& target) {
  const std::string text = "store call " + target + ": " +
                           std::to_string(response.status) + " " +
                           response.body.substr(0, 200);
  switch (response.status) {
    case 404:
      return {error_code::kNotFound, text};
    case 409:
      return {error_code::kConflict, text};
    case 503:
      return {error_code::kUnavailable, text};
    case 400:
    case 413:
      return {error_code::kInvalid, text};
    default:
      return {error_code::kUnknown, text};
  }
}

store_entry ReadEntry(const json::object& object) {
  store_entry entry;
  entry.key = std::string(object.at("key").as_string());
  entry.value = std::string(object.at("value").as_string());
  entry.version = object.at("version").to_number<std::uint64_t>();
  return entry;
}

class http_store : public key_value_store {
 public:
  explicit http_store(store_connection connection)
      : client_(connection.peer),
        watcher_(connection.peer),
        timeout_(connection.timeout),
        caller_(std::move(connection.caller)) {}

  result<store_entry> Get(const std::string& key) override {
    const auto answer = Call(client_, "/v1/get", {{"key", key}}, timeout_);
    if (!answer) {
      return answer.as_failure();
    }
    return Parse<store_entry>(answer.value(), ReadEntry);
  }

  result<std::vector<store_entry>> List(const std::string& prefix) override {
    const auto answer =
        Call(client_, "/v1/list", {{"prefix", prefix}}, timeout_);
    if (!answer) {
      return answer.as_failure();
    }
    return Parse<std::vector<store_entry>>(
        answer.value(), [](const json::object& object) {
          std::vector<store_entry> entries;
          for (const json::value& entry : object.at("entries").as_array()) {
            entries.push_back(ReadEntry(entry.as_object()));
          }
          return entries;
        });
  }

  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected_version,
                            std::uint64_t lease) override {
    const auto answer = Call(client_, "/v1/put",
                             {{"key", key},
                              {"value", value},
                              {"expected_version", expected_version},
                              {"lease", lease}},
                             timeout_);
    return Number(answer, "version");
  }

  result<void> Delete(const std::string& key,
                      std::uint64_t expected_version) override {
    return Effect(Call(client_, "/v1/delete",
                       {{"key", key}, {"expected_version", expected_version}},
                       timeout_));
  }

  result<std::uint64_t> GrantLease(millis duration) override {
    return Number(
        Call(client_, "/v1/lease/grant", {{"duration_ms", duration}}, timeout_),
        "lease");
  }

  result<void> RenewLease(std::uint64_t lease) override {
    return Effect(
        Call(client_, "/v1/lease/renew", {{"lease", lease}}, timeout_));
  }

  result<store_entry> Watch(const std::string& key,
                            std::uint64_t known_version,
                            millis timeout) override {
    const auto answer = Call(watcher_, "/v1/watch",
                             {{"key", key},
                              {"known_version", known_version},
                              {"timeout_ms", timeout}},
                             timeout + kWatchGrace);
    if (!answer) {
      return answer.as_failure();
    }
    return Parse<store_entry>(answer.value(), ReadEntry);
  }

 private:
  result<std::string> Call(http_client& client,
                           const std::string& target,
                           const json::object& body,
                           millis timeout) const {
    http_call call;
    call.target = target;
    call.body = json::serialize(body);
    call.headers.push_back({"X-Caller", caller_});
    auto response = client.Call(call, timeout);
    if (!response) {
      return response.as_failure();
    }
    if (response.value().status != 200) {
      return boost::outcome_v2::failure(MakeError(response.value(), target));
    }
    return std::move(response.value().body);
  }

  // Reads an answer; one that is not of the expected form counts as lost.
  template <class value_type, class reader_type>
  static result<value_type> Parse(const std::string& text, reader_type read) {
    try {
      return read(json::parse(text).as_object());
    } catch (const std::exception& failure) {
      return Fail(error_code::kUnknown,
                  std::string("store answer: ") + failure.what());
    }
  }

  static result<std::uint64_t> Number(const result<std::string>& answer,
                                      const char* key) {
    if (!answer) {
      return answer.as_failure();
    }
    return Parse<std::uint64_t>(
        answer.value(), [key](const json::object& object) {
          return object.at(key).to_number<std::uint64_t>();
        });
  }

  static result<void> Effect(const result<std::string>& answer) {
    if (!answer) {
      return answer.as_failure();
    }
    return boost::outcome_v2::success();
  }

  http_client client_;
  http_client watcher_;  // Of its own, so that a wait blocks no other call.
  const millis timeout_;
  const std::string caller_;
};

[[maybe_unused]] const bool kRegistered =
    RegisterStore("http", [](store_connection connection) {
      return std::make_unique<http_store>(std::move(connection));
    });

}  // namespace

}  // namespace chervilkeel
