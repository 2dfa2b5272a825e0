#include "store.h"

#include <algorithm>

#include <absl/strings/escaping.h>

#include "platform_words.h"

namespace chervilkeel::soak {

namespace json = boost::json;

namespace {

constexpr millis kTick = 20;
constexpr millis kHistory = 5'000;
constexpr millis kShortestLease = 1'000;
constexpr millis kLongestWatch = 30'000;
constexpr std::size_t kPageItems = 500;
constexpr std::uint64_t kBodyLimit = 16U << 20U;

http_response Answer(unsigned status, const json::object& body = {}) {
  http_response response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

std::uint64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

std::string Text(const json::value& value) {
  return std::string(value.as_string());
}

std::uint64_t NumberAfter(const std::string& path, const char* prefix) {
  return std::stoull("0" + path.substr(std::string(prefix).size()));
}

}  // namespace

store::store(boost::asio::io_context& context, links& between, place self)
    : context_(context), links_(between), self_(self), timer_(context) {
  Tick();
}

bool store::Listen(place process, const endpoint& at) {
  http_server_options options;
  options.listen = at;
  options.body_limit = kBodyLimit;
  servers_.push_back(std::make_shared<http_server>(
      context_, options,
      [this, process](const http_request& request, http_responder respond) {
        auto answer = [this, process, respond = std::move(respond)](
                          const http_response& response) {
          links_.WhenOpen(self_, process,
                          [respond, response] { respond(response); });
        };
        links_.WhenOpen(process, self_, [this, process, request, answer] {
          if (refused_.contains(process)) {
            answer(Answer(503));
          } else {
            Handle(request, answer);
          }
        });
      }));
  return servers_.back()->Start().has_value();
}

void store::Put(const std::string& key, const std::string& text) {
  item value;
  value.value = absl::Base64Escape(text);
  Write(key, value, ++revision_);
  AnswerWatches();
}

void store::Delete(const std::string& key) {
  Remove(key, ++revision_);
  AnswerWatches();
}

std::string store::Value(const std::string& key) const {
  const auto found = items_.find(key);
  std::string text;
  if (found != items_.end()) {
    absl::Base64Unescape(found->second.value, &text);
  }
  return text;
}

json::object store::Encode(const std::string& key, const item& value) {
  return {{"key", key},
          {"value", value.value},
          {"revision", value.revision},
          {"created", value.created},
          {"lease", value.lease}};
}

void store::Handle(const http_request& request, const http_responder& respond) {
  const std::string& path = request.path;
  const auto body = [&] { return json::parse(request.body).as_object(); };
  if (path == kKeyPath) {
    const auto found = items_.find(request.Query("key"));
    json::object answer;
    if (found != items_.end()) {
      answer = Encode(found->first, found->second);
    }
    answer[kStoreRevisionWord] = revision_;
    respond(Answer(found == items_.end() ? 404 : 200, answer));
  } else if (path == kRangePath) {
    respond(Range(request));
  } else if (path == kWatchPath) {
    const auto wait =
        static_cast<millis>(std::stoull("0" + request.Query("wait_ms")));
    const watch made{request.Query("prefix"),
                     std::stoull("0" + request.Query("after")),
                     MonotonicNow() + std::min(wait, kLongestWatch), respond};
    if (!AnswerWatch(made)) {
      watches_.push_back(made);
    }
  } else if (path == kChangePath) {
    respond(Change(body()));
  } else if (path == kLeasePath) {
    respond(MakeLease(body()));
  } else if (path.starts_with(kKeepPath)) {
    respond(Keep(NumberAfter(path, kKeepPath)));
  } else if (path.starts_with(kLeaseEndPath)) {
    EndLease(NumberAfter(path, kLeaseEndPath));
    respond(Answer(200));
  } else {
    respond(Answer(404));
  }
}

http_response store::Range(const http_request& request) const {
  const std::string prefix = request.Query("prefix");
  const std::string after = request.Query("after");
  json::array items;
  bool has_more = false;
  for (auto next = items_.lower_bound(prefix);
       next != items_.end() && next->first.starts_with(prefix); ++next) {
    if (next->first <= after) {
      continue;
    }
    if (items.size() == kPageItems) {
      has_more = true;
      break;
    }
    items.push_back(Encode(next->first, next->second));
  }
  return Answer(200, {{"items", std::move(items)},
                      {"has_more", has_more},
                      {kStoreRevisionWord, revision_}});
}

http_response store::Change(const json::object& body) {
  json::array present;
  bool holds = true;
  for (const json::value& entry : body.at(kConditionsWord).as_array()) {
    const json::object& row = entry.as_object();
    const std::string key = Text(row.at("key"));
    const auto found = items_.find(key);
    const bool is_there = found != items_.end();
    holds = holds &&
            Number(row, "revision") == (is_there ? found->second.revision : 0);
    present.push_back(is_there ? Encode(key, found->second)
                               : json::object{{"key", key}, {"revision", 0}});
  }
  if (!holds) {
    return Answer(412, {{"items", std::move(present)}});
  }
  const json::array& writes = body.at("writes").as_array();
  for (const json::value& entry : writes) {
    const std::uint64_t of = Number(entry.as_object(), "lease");
    if (of != 0 && !leases_.contains(of)) {
      return Answer(404);
    }
  }
  const std::uint64_t revision = ++revision_;
  for (const json::value& entry : writes) {
    const json::object& row = entry.as_object();
    item value;
    value.value = Text(row.at("value"));
    value.lease = Number(row, "lease");
    Write(Text(row.at("key")), std::move(value), revision);
  }
  for (const json::value& key : body.at("remove").as_array()) {
    Remove(Text(key), revision);
  }
  AnswerWatches();
  return Answer(200, {{"revision", revision}});
}

http_response store::MakeLease(const json::object& body) {
  lease made;
  made.length =
      std::max(static_cast<millis>(Number(body, "ttl_ms")), kShortestLease);
  made.end = MonotonicNow() + made.length;
  leases_[++last_lease_] = made;
  return Answer(200, {{"lease", last_lease_}, {"ttl_ms", made.length}});
}

http_response store::Keep(std::uint64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end() || MonotonicNow() >= found->second.end) {
    return Answer(404);
  }
  found->second.end = MonotonicNow() + found->second.length;
  return Answer(200, {{"ttl_ms", found->second.length}});
}

void store::Write(const std::string& key, item value, std::uint64_t revision) {
  item& entry = items_[key];
  value.revision = revision;
  value.created = entry.created == 0 ? revision : entry.created;
  entry = std::move(value);
  AddEvent({key, entry, false, MonotonicNow()});
}

void store::Remove(const std::string& key, std::uint64_t revision) {
  if (items_.erase(key) != 0) {
    event made{key, {}, true, MonotonicNow()};
    made.value.revision = revision;
    AddEvent(std::move(made));
  }
}

void store::AddEvent(event made) {
  history_.push_back(std::move(made));
  while (history_.front().at < MonotonicNow() - kHistory) {
    discarded_ = history_.front().value.revision;
    history_.pop_front();
  }
}

void store::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : items_) {
    if (entry.lease == id && id != 0) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key, ++revision_);
  }
  AnswerWatches();
}

bool store::AnswerWatch(const watch& waiting) {
  if (waiting.after < discarded_) {
    waiting.respond(Answer(410));
    return true;
  }
  json::array events;
  const auto first =
      std::upper_bound(history_.begin(), history_.end(), waiting.after,
                       [](std::uint64_t revision, const event& entry) {
                         return revision < entry.value.revision;
                       });
  for (auto next = first; next != history_.end(); ++next) {
    if (!next->key.starts_with(waiting.prefix)) {
      continue;
    }
    if (next->is_removal) {
      events.push_back(json::object{{"key", next->key},
                                    {"revision", next->value.revision},
                                    {"tombstone", true}});
    } else {
      events.push_back(Encode(next->key, next->value));
    }
  }
  if (events.empty() && MonotonicNow() < waiting.until) {
    return false;
  }
  waiting.respond(Answer(
      200, {{"events", std::move(events)}, {kStoreRevisionWord, revision_}}));
  return true;
}

void store::AnswerWatches() {
  watches_.remove_if([this](const watch& entry) { return AnswerWatch(entry); });
}

void store::Tick() {
  std::vector<std::uint64_t> ended;
  for (const auto& [id, entry] : leases_) {
    if (MonotonicNow() >= entry.end) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    EndLease(id);
  }
  AnswerWatches();
  timer_.expires_after(std::chrono::milliseconds(kTick));
  timer_.async_wait([this](boost::system::error_code failure) {
    if (!failure) {
      Tick();
    }
  });
}

}  // namespace chervilkeel::soak
