#include "chervilkeel/placement.h"

#include <algorithm>
#include <cstdio>

namespace chervilkeel {

namespace {

// The weight of the prior estimate (no slowdown), in reports.
constexpr double kPriorWeight = 4.0;
// The cap on the weight of a pair, in reports. Beyond it, old reports decay.
constexpr double kMaxWeight = 200.0;

constexpr double kSlowdownCost = 4.0;   // Per unit of predicted slowdown.
constexpr double kSameRackCost = 0.05;  // Per task of the job in the rack.
constexpr double kEffectCost = 1.0;     // If it uses up the effect limit.
// If the task failed on this worker before.
constexpr double kPreviousFailureCost = 10.0;

constexpr std::size_t kMaxScoredCandidates = 8;
// The number of pairs that one report updates at most.
constexpr std::size_t kMaxNeighboursPerReport = 8;

double PredictedSlowdown(const placement_request& request,
                         const placement_candidate& candidate,
                         const interference_model& interference) {
  double slowdown = 0;
  for (const class_count& neighbour : candidate.classes) {
    const double mutual_slowdown =
        interference.Expected(request.task_class, neighbour.task_class) +
        interference.Expected(neighbour.task_class, request.task_class);
    slowdown += neighbour.tasks * (mutual_slowdown - 2.0);
  }
  return slowdown;
}

// Prefers workers that are already in use, to avoid fragmenting the free
// capacity that large tasks need.
double UnusedShare(const placement_candidate& candidate) {
  if (candidate.capacity.milli_processors == 0) {
    return 0;
  }
  return static_cast<double>(candidate.free_capacity.milli_processors) /
         static_cast<double>(candidate.capacity.milli_processors);
}

// Prefers workers where the task uses up the smallest part of the slowdown that
// their requests may still suffer.
double EffectCost(const placement_request& request,
                  const placement_candidate& candidate) {
  const double effect = request.effect * ShareOfWorker(request.need, candidate);
  return effect <= 0 ? 0 : effect / std::max(candidate.effect_headroom, effect);
}

double Cost(const placement_request& request,
            const placement_candidate& candidate,
            const interference_model& interference) {
  double cost =
      kSlowdownCost * PredictedSlowdown(request, candidate, interference);
  cost += kSameRackCost * static_cast<double>(candidate.same_job_in_rack);
  cost += UnusedShare(candidate);
  cost += kEffectCost * EffectCost(request, candidate);
  if (std::count(request.avoid.begin(), request.avoid.end(), candidate.agent) !=
      0) {
    cost += kPreviousFailureCost;
  }
  return cost;
}

std::string Explain(const placement_candidate& chosen,
                    double cost,
                    std::size_t considered,
                    std::size_t fitting) {
  char text[200];
  std::snprintf(text, sizeof text,
                "lowest cost %.2f of %zu workers that fit, %zu in the cell; "
                "%lld milli-processors free",
                cost, fitting, considered,
                static_cast<long long>(chosen.free_capacity.milli_processors));
  return text;
}

}  // namespace

void placement_candidate::AddTask(const std::string& task_class) {
  for (class_count& known : classes) {
    if (known.task_class == task_class) {
      ++known.tasks;
      return;
    }
  }
  classes.push_back({task_class, 1});
}

double ShareOfWorker(const amount& need, const placement_candidate& candidate) {
  if (candidate.capacity.milli_processors <= 0) {
    return 0;
  }
  return static_cast<double>(need.milli_processors) /
         static_cast<double>(candidate.capacity.milli_processors);
}

bool EffectFits(const placement_request& request,
                const placement_candidate& candidate) {
  return candidate.classes.empty() ||
         request.effect * ShareOfWorker(request.need, candidate) <=
             candidate.effect_headroom;
}

void interference_model::Learn(const std::string& task_class,
                               const std::vector<std::string>& neighbours,
                               double slowdown) {
  if (neighbours.empty()) {
    return;
  }
  const std::size_t updated_pairs =
      std::min(neighbours.size(), kMaxNeighboursPerReport);
  const double share =
      (slowdown - 1.0) / static_cast<double>(neighbours.size());
  for (std::size_t i = 0; i < updated_pairs; ++i) {
    pair_estimate& pair = pairs_[{task_class, neighbours[i]}];
    pair.weight = std::min(pair.weight + 1.0, kMaxWeight);
    pair.mean += (1.0 + share - pair.mean) / pair.weight;
  }
}

double interference_model::Expected(const std::string& task_class,
                                    const std::string& neighbour) const {
  const auto pair = pairs_.find({task_class, neighbour});
  if (pair == pairs_.end()) {
    return 1.0;
  }
  const double weight = pair->second.weight;
  return 1.0 + (pair->second.mean - 1.0) * weight / (weight + kPriorWeight);
}

placement_choice ChooseWorker(
    const placement_request& request,
    const std::vector<placement_candidate>& candidates,
    const interference_model& interference) {
  placement_choice choice;
  double lowest = 0;
  std::size_t fitting = 0;
  for (std::size_t i = 0;
       i < candidates.size() && fitting < kMaxScoredCandidates; ++i) {
    const std::size_t index = (request.first_candidate + i) % candidates.size();
    const placement_candidate& candidate = candidates[index];
    if (!candidate.usable || !Fits(request.need, candidate.free_capacity) ||
        !EffectFits(request, candidate)) {
      continue;
    }
    ++fitting;
    const double cost = Cost(request, candidate, interference);
    if (choice.index < 0 || cost < lowest) {
      choice.index = static_cast<int>(index);
      lowest = cost;
    }
  }
  if (choice.index < 0) {
    choice.reason = "no usable worker has enough free capacity";
    return choice;
  }
  choice.reason = Explain(candidates[static_cast<std::size_t>(choice.index)],
                          lowest, candidates.size(), fitting);
  return choice;
}

}  // namespace chervilkeel
