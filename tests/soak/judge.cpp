#include "judge.h"

#include <algorithm>

namespace chervilkeel::soak {

namespace {

const char* NameOf(finding_kind kind) {
  for (const finding_kind_name& entry : kFindingKindNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "";
}

std::string Seconds(millis time) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", static_cast<double>(time) / 1000.0);
  return text;
}

}  // namespace

record::~record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

bool record::Open(const std::string& path) {
  file_ = std::fopen(path.c_str(), "we");
  return file_ != nullptr;
}

void record::Line(const std::string& text) {
  std::fprintf(file_, "%9s  %s\n", Seconds(Now()).c_str(), text.c_str());
  std::fflush(file_);
}

void record::Say(const std::string& text) {
  Line(text);
  std::printf("%9s  %s\n", Seconds(Now()).c_str(), text.c_str());
  std::fflush(stdout);
}

seen_run& judge::Started(seen_run run) {
  run.started = log_.Now();
  runs_.push_back(std::move(run));
  seen_run& kept = runs_.back();
  by_task_[kept.task].push_back(&kept);
  ++running_;
  log_.Line("start " + Describe(kept));
  JudgeEvacuation(kept);
  return kept;
}

void judge::Ended(seen_run& run, const std::string& how) {
  run.ended = log_.Now();
  run.how = how;
  --running_;
  log_.Line("end " + Describe(run));
}

void judge::Noted(seen_run& run) {
  run.noted = log_.Now();
}

void judge::Evacuated(const std::string& data_centre) {
  const bool is_new =
      evacuations_
          .try_emplace(data_centre, evacuation{log_.Now(), store_silence_})
          .second;
  evacuation_count_ += is_new ? 1 : 0;
  log_.Line("evacuate " + data_centre + (is_new ? "" : " again"));
}

void judge::EvacuationEnded(const std::string& data_centre) {
  evacuations_.erase(data_centre);
  log_.Line("evacuation of " + data_centre + " withdrawn");
}

void judge::JudgeEvacuation(const seen_run& run) {
  const auto found = evacuations_.find(run.data_centre);
  if (found == evacuations_.end()) {
    return;
  }
  const auto& [taken, silence] = found->second;
  const millis stretch = std::min(store_silence_ - silence, kLongestStretch);
  const auto disturbed = disturbed_.find(run.executor);
  if (run.started - taken <= kEvacuationBound + stretch) {
    ++starts_within_bound_;
  } else if (disturbed != disturbed_.end() &&
             run.started - disturbed->second <= kEvacuationBound) {
    ++starts_out_of_touch_;
  } else {
    late_starts_.push_back(&run);
    log_.Say("EVAC, start in data centre " + run.data_centre +
             ", evacuated since " + Seconds(taken) + ": " + Describe(run));
  }
}

std::string judge::Describe(const seen_run& run) {
  std::string text = run.task + " run " + std::to_string(run.run) +
                     " at executor " + std::to_string(run.executor + 1) +
                     " epoch " + std::to_string(run.epoch) + ", " +
                     Seconds(run.started) + " to ";
  if (run.ended < 0) {
    return text + "now";
  }
  text += Seconds(run.ended) + " " + run.how;
  if (run.noted >= 0) {
    text += " noted " + Seconds(run.noted);
  }
  return text + (run.lapsed ? " lapsed" : "");
}

std::size_t judge::Report() {
  std::vector<finding> findings;
  std::size_t counts[std::size(kFindingKindNames)] = {};
  std::size_t again = 0;
  for (const auto& [task, runs] : by_task_) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        const seen_run& first = *runs[i];
        const seen_run& second = *runs[j];
        if (first.ended < 0 || second.started < first.ended) {
          findings.push_back({finding_kind::kTwoAtOnce, &first, &second});
        } else if (first.how == "done" && first.noted >= 0 && !first.lapsed) {
          findings.push_back({finding_kind::kStartAfterDone, &first, &second});
        } else if (first.how == "done") {
          ++again;
        }
      }
    }
  }
  for (const finding& entry : findings) {
    ++counts[static_cast<std::size_t>(entry.kind)];
    log_.Say(std::string("TWICE, ") + NameOf(entry.kind) + ": " +
             Describe(*entry.first) + "; " + Describe(*entry.second));
  }
  log_.Say("tasks " + std::to_string(by_task_.size()) + ", runs " +
           std::to_string(runs_.size()) + ", two at once " +
           std::to_string(counts[0]) + ", started after a noted end " +
           std::to_string(counts[1]) +
           ", done again after an end that was not noted " +
           std::to_string(again));
  log_.Say("evacuations " + std::to_string(evacuation_count_) +
           ", starts in them within the bound " +
           std::to_string(starts_within_bound_) + ", later out of touch " +
           std::to_string(starts_out_of_touch_) + ", later in touch " +
           std::to_string(late_starts_.size()));
  return findings.size() + late_starts_.size();
}

}  // namespace chervilkeel::soak
