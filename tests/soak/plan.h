// The faults of a run, by seed.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "fleet.h"

namespace chervilkeel::soak {

enum class plan_kind { kCalm, kCut, kPause, kMixed, kEvacuations };

struct plan_name {
  plan_kind kind;
  const char* name;
};

// The operator's evacuations are played beside each of these.
inline constexpr plan_name kPlanNames[] = {
    {plan_kind::kCalm, "calm"},
    {plan_kind::kCut, "cut"},
    {plan_kind::kPause, "pause"},
    {plan_kind::kMixed, "mixed"},
};

// Brings faults about until its end, which undoes all of them.
class plan {
 public:
  plan(boost::asio::io_context& context,
       record& log,
       fleet& processes,
       plan_kind kind,
       std::uint64_t seed);

  void Start();
  void End();

 private:
  millis Pick(millis least, millis most);
  bool Chance(double share);
  void After(millis delay, std::function<void()> step);

  // Some of the places from `first`, `count` of them.
  std::vector<place> Some(place first, std::size_t of, std::size_t count);
  std::vector<place> SomeAgents(std::size_t count);
  std::string Names(const std::vector<place>& places) const;

  void NextCut();
  void NextTrouble();
  // The next series of a data centre, which overlaps with those of others:
  // evacuated, sometimes again, and given back.
  void NextEvacuation(const std::string& data_centre);
  // Runs a step of the operator as soon as the store answers.
  void Operate(std::function<void()> step);

  // The owner with other entries and agents, from all others and the store.
  void CutIsland(millis length);
  void CutStore(millis length);
  void RefuseSome(millis length);
  void PauseSome(const std::vector<place>& places, millis longest);
  void RestartSome(const std::vector<place>& places);

  boost::asio::io_context& context_;
  record& log_;
  fleet& fleet_;
  const plan_kind kind_;
  std::mt19937_64 random_;
  std::set<place> paused_;
  std::set<place> away_;  // Killed, and not launched again.
  bool ended_ = false;
};

}  // namespace chervilkeel::soak
