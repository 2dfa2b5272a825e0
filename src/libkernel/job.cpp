#include "chervilkeel/job.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include <boost/json.hpp>

#include "chervilkeel/name_table.h"

namespace chervilkeel {

namespace json = boost::json;

namespace {

template <class number_type>
bool ParseNumber(std::string_view text, number_type& out) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, out);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

// Adds a member unless it has its default value, to keep records small.
template <class value_type>
void AddIfSet(json::object& object, const char* key, const value_type& value) {
  if (value != value_type()) {
    object[key] = value;
  }
}

template <class number_type>
number_type ReadNumber(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? number_type() : value->to_number<number_type>();
}

bool ReadFlag(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->as_bool();
}

std::string ReadText(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? std::string() : std::string(value->as_string());
}

json::object EncodeStep(const job_step& step) {
  json::object out{{"tasks", step.tasks}};
  AddIfSet(out, "milli_processors", step.size.milli_processors);
  AddIfSet(out, "memory_mb", step.size.memory_mb);
  AddIfSet(out, "accelerators", step.size.accelerators);
  AddIfSet(out, "expected_ms", step.expected);
  if (!step.after.empty()) {
    json::array after;
    for (const std::uint32_t other : step.after) {
      after.emplace_back(other);
    }
    out["after"] = std::move(after);
  }
  AddIfSet(out, "gang", step.gang);
  AddIfSet(out, "one_rack", step.one_rack);
  AddIfSet(out, "checkpoints", step.checkpoints);
  AddIfSet(out, "speculative", step.speculative);
  AddIfSet(out, "service", step.service);
  AddIfSet(out, "filler", step.filler);
  AddIfSet(out, "required_label", step.required_label);
  AddIfSet(out, "data_rack", step.data_rack);
  AddIfSet(out, "most_per_worker", step.most_per_worker);
  AddIfSet(out, "tolerated_misses", step.tolerated_misses);
  AddIfSet(out, "image", step.image);
  AddIfSet(out, "tail_target_ms", step.tail_target);
  return out;
}

job_step DecodeStep(const json::object& object) {
  job_step step;
  step.tasks = ReadNumber<std::uint32_t>(object, "tasks");
  step.size.milli_processors =
      ReadNumber<std::int64_t>(object, "milli_processors");
  step.size.memory_mb = ReadNumber<std::int64_t>(object, "memory_mb");
  step.size.accelerators = ReadNumber<std::int64_t>(object, "accelerators");
  step.expected = ReadNumber<millis>(object, "expected_ms");
  if (const json::value* after = object.if_contains("after")) {
    for (const json::value& other : after->as_array()) {
      step.after.push_back(other.to_number<std::uint32_t>());
    }
  }
  step.gang = ReadFlag(object, "gang");
  step.one_rack = ReadFlag(object, "one_rack");
  step.checkpoints = ReadFlag(object, "checkpoints");
  step.speculative = ReadFlag(object, "speculative");
  step.service = ReadFlag(object, "service");
  step.filler = ReadFlag(object, "filler");
  step.required_label = ReadText(object, "required_label");
  step.data_rack = ReadText(object, "data_rack");
  step.most_per_worker = ReadNumber<std::uint32_t>(object, "most_per_worker");
  step.tolerated_misses = ReadNumber<std::uint32_t>(object, "tolerated_misses");
  step.image = ReadText(object, "image");
  step.tail_target = ReadNumber<millis>(object, "tail_target_ms");
  return step;
}

json::array EncodeCheckpoints(const step_progress& step) {
  json::array out;
  for (const auto& [task, checkpoint] : step.checkpoints) {
    out.push_back(json::array{task, json::value(checkpoint)});
  }
  return out;
}

using runs_by_task = std::map<std::uint32_t, std::set<std::uint64_t>>;

// Encodes one row per task: its index, then the numbers of the runs.
json::array EncodeRuns(const runs_by_task& runs_of_tasks) {
  json::array out;
  for (const auto& [task, runs] : runs_of_tasks) {
    json::array row{task};
    row.insert(row.end(), runs.begin(), runs.end());
    out.push_back(std::move(row));
  }
  return out;
}

// Longer texts of done tasks are stored with four tasks per hex digit.
constexpr std::size_t kMaxPlainDoneText = 64;
constexpr std::size_t kTasksPerDigit = 4;

std::string EncodeDoneBits(const std::string& done) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (std::size_t i = 0; i < done.size(); i += kTasksPerDigit) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < kTasksPerDigit; ++bit) {
      const bool is_done = i + bit < done.size() && done[i + bit] == '1';
      digit = 2 * digit + (is_done ? 1 : 0);
    }
    digits += kDigits[digit];
  }
  return digits;
}

std::string DecodeDoneBits(std::string_view digits, std::size_t tasks) {
  if (tasks > kMaxTasksPerStep || digits.size() * kTasksPerDigit < tasks) {
    throw std::runtime_error("done tasks do not match their number");
  }
  std::string done;
  for (std::size_t i = 0; i < tasks; ++i) {
    unsigned digit = 0;
    const char* place = digits.data() + i / kTasksPerDigit;
    if (std::from_chars(place, place + 1, digit, 16).ec != std::errc()) {
      throw std::runtime_error("done tasks are no hex digits");
    }
    const auto shift = kTasksPerDigit - 1 - i % kTasksPerDigit;
    done += ((digit >> shift) & 1U) != 0 ? '1' : '0';
  }
  return done;
}

void EncodeDone(const std::string& done, json::object& out) {
  if (done.size() <= kMaxPlainDoneText) {
    out["done"] = done;
    return;
  }
  out["tasks"] = done.size();
  if (done.find('0') != std::string::npos) {
    out["done_bits"] = EncodeDoneBits(done);
  }
}

// Without bits, all tasks are done.
std::string DecodeDone(const json::object& object) {
  if (!object.contains("tasks")) {
    return ReadText(object, "done");
  }
  const auto tasks = ReadNumber<std::size_t>(object, "tasks");
  if (object.contains("done_bits")) {
    return DecodeDoneBits(ReadText(object, "done_bits"), tasks);
  }
  if (tasks > kMaxTasksPerStep) {
    throw std::runtime_error("too many tasks");
  }
  return std::string(tasks, '1');
}

json::object EncodeStepProgress(const step_progress& step) {
  json::object out{{"step", step.step}};
  EncodeDone(step.done, out);
  AddIfSet(out, "occurrence", step.occurrence);
  if (!step.failed_runs.empty()) {
    out["failed_runs"] = EncodeRuns(step.failed_runs);
  }
  if (!step.crashed_runs.empty()) {
    out["crashed_runs"] = EncodeRuns(step.crashed_runs);
  }
  if (!step.late_crashed_runs.empty()) {
    out["late_crashed_runs"] = EncodeRuns(step.late_crashed_runs);
  }
  if (!step.proven_runs.empty()) {
    json::array rows;
    for (const auto& [task, run] : step.proven_runs) {
      rows.push_back(json::array{task, run});
    }
    out["proven_runs"] = std::move(rows);
  }
  if (!step.checkpoints.empty()) {
    out["checkpoints"] = EncodeCheckpoints(step);
  }
  return out;
}

runs_by_task DecodeRuns(const json::object& object, const char* member) {
  runs_by_task runs_of_tasks;
  const json::value* rows = object.if_contains(member);
  if (rows == nullptr) {
    return runs_of_tasks;
  }
  for (const json::value& row : rows->as_array()) {
    const json::array& values = row.as_array();
    auto& runs = runs_of_tasks[values.at(0).to_number<std::uint32_t>()];
    for (std::size_t i = 1; i < values.size(); ++i) {
      runs.insert(values[i].to_number<std::uint64_t>());
    }
  }
  return runs_of_tasks;
}

step_progress DecodeStepProgress(const json::object& object) {
  step_progress step;
  step.step = ReadNumber<std::uint32_t>(object, "step");
  step.occurrence = ReadNumber<std::uint32_t>(object, "occurrence");
  step.done = DecodeDone(object);
  step.failed_runs = DecodeRuns(object, "failed_runs");
  step.crashed_runs = DecodeRuns(object, "crashed_runs");
  step.late_crashed_runs = DecodeRuns(object, "late_crashed_runs");
  if (const json::value* pairs = object.if_contains("proven_runs")) {
    for (const json::value& pair : pairs->as_array()) {
      step.proven_runs[pair.at(0).to_number<std::uint32_t>()] =
          pair.at(1).to_number<std::uint64_t>();
    }
  }
  if (const json::value* pairs = object.if_contains("checkpoints")) {
    for (const json::value& pair : pairs->as_array()) {
      step.checkpoints[pair.at(0).to_number<std::uint32_t>()] =
          std::string(pair.at(1).as_string());
    }
  }
  return step;
}

// Parses the text and decodes it with `read`. Maps every exception, such as a
// missing member or one of the wrong type, to kInvalid.
template <class value_type, class reader_type>
result<value_type> Decode(const std::string& text,
                          const char* what,
                          reader_type read) {
  try {
    return read(json::parse(text).as_object());
  } catch (const std::exception& failure) {
    return Fail(error_code::kInvalid, "stored " + std::string(what) +
                                          " is malformed: " + failure.what());
  }
}

void CheckStep(const job_spec& spec, std::size_t number, findings& found) {
  const job_step& step = spec.steps[number];
  const std::string place = "step " + std::to_string(number);
  if (step.tasks < 1 || step.tasks > kMaxTasksPerStep) {
    found.push_back({place, "must have from 1 to " +
                                std::to_string(kMaxTasksPerStep) + " tasks"});
  }
  if (step.size.milli_processors < 0 || step.size.memory_mb < 0 ||
      step.size.accelerators < 0 || step.expected < 0) {
    found.push_back({place, "has a negative resource amount or run time"});
  }
  for (const std::uint32_t other : step.after) {
    if (other >= number && found.size() < kMaxFindings) {
      found.push_back({place, "depends on step " + std::to_string(other) +
                                  ", which is not an earlier step"});
    }
  }
}

}  // namespace

const char* NameOf(job_state state) {
  return NameIn(kJobStateNames, state);
}

bool ParseJobState(std::string_view name, job_state& out) {
  return ValueIn(kJobStateNames, name, out);
}

bool IsFinal(job_state state) {
  return state != job_state::kQueued && state != job_state::kRunning;
}

findings CheckJob(const job_spec& spec, std::size_t max_payload_bytes) {
  findings found;
  if (spec.payload.size() > max_payload_bytes) {
    found.push_back({"payload", "has " + std::to_string(spec.payload.size()) +
                                    " bytes; the limit is " +
                                    std::to_string(max_payload_bytes)});
  }
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    found.push_back(
        {"steps", "must number from 1 to " + std::to_string(kMaxSteps)});
    return found;
  }
  if (spec.repeats > 0 && spec.repeat_interval < 0) {
    found.push_back({"repeat interval", "must not be negative"});
  }
  for (std::size_t i = 0; i < spec.steps.size() && found.size() < kMaxFindings;
       ++i) {
    CheckStep(spec, i, found);
  }
  std::uint64_t tasks = 0;
  for (const job_step& step : spec.steps) {
    tasks += step.tasks;
  }
  if (tasks > kMaxTasksPerJob && found.size() < kMaxFindings) {
    found.push_back({"steps", "have " + std::to_string(tasks) +
                                  " tasks in all; the limit is " +
                                  std::to_string(kMaxTasksPerJob)});
  }
  return found;
}

void DropDetails(job_spec& spec) {
  // An assignment of {} would keep the memory.
  spec.payload = std::string();
  for (job_step& step : spec.steps) {
    step.after = std::vector<std::uint32_t>();
    step.required_label = std::string();
    step.data_rack = std::string();
  }
}

millis CriticalPath(const job_spec& spec) {
  std::vector<millis> ends(spec.steps.size(), 0);
  millis longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    millis start = 0;
    for (const std::uint32_t other : spec.steps[i].after) {
      start = std::max(start, other < i ? ends[other] : 0);
    }
    ends[i] = start + spec.steps[i].expected;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

std::vector<millis> RemainingPaths(const job_spec& spec) {
  std::vector<millis> paths(spec.steps.size(), 0);
  for (std::size_t i = spec.steps.size(); i-- > 0;) {
    paths[i] += spec.steps[i].expected;
    for (const std::uint32_t other : spec.steps[i].after) {
      if (other < i) {
        paths[other] = std::max(paths[other], paths[i]);
      }
    }
  }
  return paths;
}

std::vector<std::uint32_t> FirstAlike(const job_spec& spec) {
  const auto needs_of = [](const job_step& step) {
    return std::tie(step.size.milli_processors, step.size.memory_mb,
                    step.size.accelerators, step.expected, step.gang,
                    step.service, step.filler, step.required_label,
                    step.data_rack, step.most_per_worker, step.image,
                    step.tail_target);
  };
  std::map<decltype(needs_of(spec.steps[0])), std::uint32_t> first;
  std::vector<std::uint32_t> alike;
  for (const job_step& step : spec.steps) {
    const auto index = static_cast<std::uint32_t>(alike.size());
    alike.push_back(first.emplace(needs_of(step), index).first->second);
  }
  return alike;
}

std::string EncodeJobRecord(const job_record& record) {
  json::object out{{"id", record.id},
                   {"queue", record.queue.name},
                   {"service", record.queue.service},
                   {"priority", record.queue.priority},
                   {"max_attempts", record.queue.max_attempts},
                   {"stretch", record.queue.stretch},
                   {"latency_target_ms", record.queue.latency_target},
                   {"accepted_ms", record.accepted_ms},
                   {"payload", record.spec.payload}};
  AddIfSet(out, "epoch", record.epoch);
  AddIfSet(out, "repeats", record.spec.repeats);
  AddIfSet(out, "first_due_ms", record.spec.first_due_ms);
  AddIfSet(out, "repeat_interval_ms", record.spec.repeat_interval);
  json::array steps;
  for (const job_step& step : record.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  out["steps"] = std::move(steps);
  return json::serialize(out);
}

result<job_record> DecodeJobRecord(const std::string& text) {
  return Decode<job_record>(text, "job record", [](const json::object& object) {
    job_record record;
    record.id = ReadText(object, "id");
    record.queue.name = ReadText(object, "queue");
    record.queue.service = ReadText(object, "service");
    record.queue.priority = ReadNumber<std::uint32_t>(object, "priority");
    record.queue.max_attempts =
        ReadNumber<std::uint32_t>(object, "max_attempts");
    record.queue.stretch = ReadNumber<double>(object, "stretch");
    record.queue.latency_target =
        ReadNumber<millis>(object, "latency_target_ms");
    record.accepted_ms = ReadNumber<std::int64_t>(object, "accepted_ms");
    record.epoch = ReadNumber<std::uint64_t>(object, "epoch");
    record.spec.payload = ReadText(object, "payload");
    record.spec.repeats = ReadNumber<std::uint32_t>(object, "repeats");
    record.spec.first_due_ms = ReadNumber<std::int64_t>(object, "first_due_ms");
    record.spec.repeat_interval =
        ReadNumber<millis>(object, "repeat_interval_ms");
    for (const json::value& step : object.at("steps").as_array()) {
      record.spec.steps.push_back(DecodeStep(step.as_object()));
    }
    return record;
  });
}

std::string EncodeJobProgress(const job_progress& progress) {
  json::object out{{"id", progress.id}, {"state", NameOf(progress.state)}};
  AddIfSet(out, "ended_ms", progress.ended_ms);
  json::array steps;
  for (const step_progress& step : progress.steps) {
    steps.push_back(EncodeStepProgress(step));
  }
  out["steps"] = std::move(steps);
  return json::serialize(out);
}

result<job_progress> DecodeJobProgress(const std::string& text) {
  return Decode<job_progress>(
      text, "job progress", [](const json::object& object) {
        job_progress progress;
        progress.id = ReadText(object, "id");
        if (!ParseJobState(ReadText(object, "state"), progress.state)) {
          throw std::runtime_error("unknown state");
        }
        progress.ended_ms = ReadNumber<std::int64_t>(object, "ended_ms");
        for (const json::value& step : object.at("steps").as_array()) {
          progress.steps.push_back(DecodeStepProgress(step.as_object()));
        }
        return progress;
      });
}

std::string step_name::ToString() const {
  return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string task_name::ToString() const {
  return Step().ToString() + "." + std::to_string(index);
}

bool ParseTaskName(std::string_view text, task_name& out) {
  std::string_view parts[4];
  for (int i = 3; i > 0; --i) {
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
      return false;
    }
    parts[i] = text.substr(dot + 1);
    text = text.substr(0, dot);
  }
  out.job = std::string(text);
  return !text.empty() && ParseNumber(parts[1], out.occurrence) &&
         ParseNumber(parts[2], out.step) && ParseNumber(parts[3], out.index);
}

}  // namespace chervilkeel
