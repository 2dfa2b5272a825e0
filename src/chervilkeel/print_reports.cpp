#include "print_reports.h"

#include <cstdio>
#include <ctime>

namespace chervilkeel {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMillisInSecond = 1000;
constexpr double kMilli = 1000.0;

std::string Text(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->as_string()) : "";
}

// Reads a number; protobuf writes 64-bit ones as strings and omits zeros.
std::uint64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (!value) {
    return 0;
  }
  if (value->is_string()) {
    return std::strtoull(value->as_string().c_str(), nullptr, 10);
  }
  return value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

bool Flag(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_bool() && value->as_bool();
}

const json::array& List(const json::object& object, const char* key) {
  static const json::array kNone;
  const json::value* value = object.if_contains(key);
  return value && value->is_array() ? value->as_array() : kNone;
}

json::object Object(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_object() ? value->as_object() : json::object();
}

std::string Time(std::uint64_t wall_ms) {
  const auto seconds = static_cast<std::time_t>(wall_ms / kMillisInSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  std::snprintf(text, sizeof text, "%02d:%02d:%02d.%03u", parts.tm_hour,
                parts.tm_min, parts.tm_sec,
                static_cast<unsigned>(wall_ms % kMillisInSecond));
  return text;
}

void PrintRecord(const json::object& record) {
  std::printf(
      "  %s  %-14s %-9s %s: %s, because %s (manifest %llu, epoch %llu)\n",
      Time(Number(record, "at_ms")).c_str(), Text(record, "process").c_str(),
      Text(record, "part").c_str(), Text(record, "subject").c_str(),
      Text(record, "what").c_str(), Text(record, "why").c_str(),
      static_cast<unsigned long long>(Number(record, "manifest_version")),
      static_cast<unsigned long long>(Number(record, "epoch")));
}

void PrintUpstream(const json::object& upstream) {
  const json::object load = Object(upstream, "load");
  const std::uint64_t queued =
      Number(load, "queued_short") + Number(load, "queued_long");
  std::printf(
      "  %-14s %-12s %-8s %2llu of %llu slots busy, %llu queued, heard "
      "%llu ms ago%s\n",
      Text(upstream, "agent").c_str(), Text(upstream, "data_centre").c_str(),
      Flag(upstream, "draining") ? "leaving"
      : Flag(upstream, "usable") ? "usable"
                                 : "silent",
      static_cast<unsigned long long>(Number(load, "busy_slots")),
      static_cast<unsigned long long>(Number(load, "slots")),
      static_cast<unsigned long long>(queued),
      static_cast<unsigned long long>(Number(upstream, "heard_ms_ago")),
      Text(upstream, "cell").empty() ? " (no cell)" : "");
}

void PrintWorker(const json::object& worker) {
  const json::object capacity = Object(worker, "capacity");
  const json::object assigned = Object(worker, "assigned");
  std::printf(
      "  %-14s %-8s %-12s %6.1f of %6.1f processors, %6llu of %6llu MB "
      "assigned; %llu running, %llu waiting there\n",
      Text(worker, "agent").c_str(), Text(worker, "rack").c_str(),
      Text(worker, "condition").c_str(),
      static_cast<double>(Number(assigned, "milli_processors")) / kMilli,
      static_cast<double>(Number(capacity, "milli_processors")) / kMilli,
      static_cast<unsigned long long>(Number(assigned, "memory_mb")),
      static_cast<unsigned long long>(Number(capacity, "memory_mb")),
      static_cast<unsigned long long>(Number(worker, "running")),
      static_cast<unsigned long long>(Number(worker, "backlog")));
}

std::string Joined(const json::array& names) {
  std::string text;
  for (const json::value& name : names) {
    text += (text.empty() ? "" : ", ") + std::string(name.as_string());
  }
  return text;
}

}  // namespace

void PrintStatus(const json::object& report) {
  std::printf(
      "Manifest version %llu in force at entry %s\n",
      static_cast<unsigned long long>(Number(report, "manifest_version")),
      Text(report, "entry").c_str());
  std::printf("Upstreams:\n");
  for (const json::value& upstream : List(report, "upstreams")) {
    PrintUpstream(upstream.as_object());
  }
  for (const json::value& entry : List(report, "cells")) {
    const json::object& cell = entry.as_object();
    if (!Text(cell, "outcome").empty()) {
      std::printf("Cell %s: its owner does not answer\n",
                  Text(cell, "cell").c_str());
      continue;
    }
    std::printf("Cell %s, owned by %s under epoch %llu:\n",
                Text(cell, "cell").c_str(), Text(cell, "owner").c_str(),
                static_cast<unsigned long long>(Number(cell, "epoch")));
    for (const json::value& worker : List(cell, "workers")) {
      PrintWorker(worker.as_object());
    }
    if (!List(cell, "repairs").empty()) {
      std::printf("Repairs:\n");
    }
    for (const json::value& repair : List(cell, "repairs")) {
      PrintRecord(repair.as_object());
    }
  }
}

void PrintJobs(const json::object& report) {
  for (const json::value& entry : List(report, "cells")) {
    const json::object& cell = entry.as_object();
    if (!Text(cell, "outcome").empty()) {
      std::printf("Cell %s: its owner does not answer\n",
                  Text(cell, "cell").c_str());
      continue;
    }
    std::printf("%-26s %-13s %9s %8s %8s %9s %9s %6s\n", "JOB", "STATE",
                "FINISHED", "RUNNING", "WAITING", "EVICTIONS", "FAILURES",
                "LOST");
    for (const json::value& item : List(cell, "jobs")) {
      const json::object& job = item.as_object();
      const auto number = [&](const char* key) {
        return static_cast<unsigned long long>(Number(job, key));
      };
      std::printf("%-26s %-13s %4llu/%-4llu %8llu %8llu %9llu %9llu %6llu\n",
                  Text(job, "job").c_str(), Text(job, "state").c_str(),
                  number("finished"), number("tasks"), number("running"),
                  number("waiting"), number("evictions"), number("failures"),
                  number("losses"));
      if (!Text(job, "reason").empty()) {
        std::printf("    %s\n", Text(job, "reason").c_str());
      }
      if (number("stragglers") > 0) {
        std::printf("    %llu stragglers run many times longer than declared\n",
                    number("stragglers"));
      }
    }
  }
}

void PrintExplanation(const json::object& report) {
  const json::array& records = List(report, "records");
  std::printf("%s: %zu decisions\n", Text(report, "subject").c_str(),
              records.size());
  for (const json::value& record : records) {
    PrintRecord(record.as_object());
  }
  if (!List(report, "silent").empty()) {
    std::printf("  No answer from %s; their decisions are missing here.\n",
                Joined(List(report, "silent")).c_str());
  }
}

void PrintManifest(const json::object& report) {
  const json::object root = Object(report, "root");
  std::printf("# version %llu, committed by %s: %s\n",
              static_cast<unsigned long long>(Number(root, "version")),
              Text(root, "author").c_str(), Text(root, "note").c_str());
  std::printf("%s\n", json::serialize(report.at("manifest")).c_str());
}

void PrintHistory(const json::object& report) {
  for (const json::value& entry : List(report, "versions")) {
    const json::object& root = entry.as_object();
    std::printf("%6llu  %s  %-12s %s (%s)\n",
                static_cast<unsigned long long>(Number(root, "version")),
                Time(Number(root, "committed_at_ms")).c_str(),
                Text(root, "author").c_str(), Text(root, "note").c_str(),
                Text(root, "operation").c_str());
  }
}

void PrintCommit(unsigned status, const std::string& body) {
  const json::object report = json::parse(body).as_object();
  if (status == 200) {
    std::printf("Committed as version %llu; changed sections: %s%s\n",
                static_cast<unsigned long long>(Number(report, "version")),
                Joined(List(report, "changed")).c_str(),
                Flag(report, "rebased") ? " (rebased)" : "");
    return;
  }
  if (status == 409) {
    std::fprintf(
        stderr,
        "Nothing was changed: version %llu was committed meanwhile and "
        "differs in %s\n",
        static_cast<unsigned long long>(Number(report, "version")),
        Joined(List(report, "conflicts")).c_str());
    return;
  }
  for (const json::value& entry : List(report, "findings")) {
    const json::object& found = entry.as_object();
    std::fprintf(stderr, "%s: %s\n", Text(found, "place").c_str(),
                 Text(found, "message").c_str());
  }
  if (!Text(report, "error").empty()) {
    std::fprintf(stderr, "%s\n", Text(report, "error").c_str());
  }
}

}  // namespace chervilkeel
