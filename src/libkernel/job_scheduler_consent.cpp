// Two schedulers side by side: a former one that goes on without a lease, and a
// new one that was elected without asking it. Each needs most of the members
// that are stored, and both count the same ones. A member obeys the highest
// epoch of which its executor has listed the runs, so that two majorities have
// no member in common that obeys both.
#include <algorithm>

#include "chervilkeel/job_scheduler.h"

namespace chervilkeel {

void job_scheduler::SetHasLease(bool has_lease) {
  if (std::exchange(has_lease_, has_lease) || !has_lease) {
    return;
  }
  for (auto& [agent, worker] : workers_) {
    worker.came_without_lease = false;
  }
}

bool job_scheduler::HearsMostOf(const std::set<std::string>& members,
                                millis now) const {
  const auto heard = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const auto& agent) {
        const auto worker = workers_.find(agent);
        return worker != workers_.end() && !worker->second.came_without_lease &&
               worker->second.listed_at > 0 &&
               now - worker->second.listed_at <= options_.list_freshness;
      }));
  return members.empty() || 2 * heard > members.size();
}

bool job_scheduler::HearsMostMembers(millis now) const {
  return HearsMostOf(durable_members_, now) &&
         (!committing_ || HearsMostOf(committing_members_, now)) &&
         std::all_of(
             possible_members_.begin(), possible_members_.end(),
             [&](const auto& members) { return HearsMostOf(members, now); });
}

void job_scheduler::NotifyAllAgents() {
  for (const auto& [agent, worker] : workers_) {
    agents_to_notify_.insert(agent);
  }
}

void job_scheduler::UpdateConsent(millis now) {
  if (!former_may_act_) {
    return;
  }
  const std::size_t reported = former_members_ - unreported_members_.size();
  const auto notices_after =
      static_cast<millis>(static_cast<double>(options_.list_freshness) *
                          (1.0 + options_.clock_drift));
  const auto granted_after = static_cast<millis>(
      static_cast<double>(options_.grant) * (1.0 + options_.clock_drift));
  if (consented_at_ == 0 &&
      (unreported_members_.empty() || 2 * reported > former_members_)) {
    consented_at_ = now;
    placement_requested_ = true;
    NotifyAllAgents();
    for (auto& [agent, until] : unreported_members_) {
      until = std::min(
          until, now + notices_after + granted_after + options_.grant_margin);
    }
    Emit("members_consent", "former members", "",
         "epoch=" + std::to_string(options_.epoch) +
             " members=" + std::to_string(former_members_) +
             " unreported=" + std::to_string(unreported_members_.size()));
  }
  if (unreported_members_.empty() ||
      (consented_at_ != 0 &&
       now > consented_at_ + notices_after + options_.grant_margin)) {
    former_may_act_ = false;
    placement_requested_ = true;
    NotifyAllAgents();
    Emit("former_scheduler_settled", "former members", "",
         "epoch=" + std::to_string(options_.epoch));
  }
}

}  // namespace chervilkeel
