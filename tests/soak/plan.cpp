#include "plan.h"

#include <algorithm>
#include <memory>
#include <numeric>

#include <boost/asio/steady_timer.hpp>

namespace chervilkeel::soak {

namespace {

constexpr millis kShortestPause = 50;
constexpr millis kLongestPause = 6'000;
constexpr millis kCutTime = 12'000;
constexpr millis kCutInterval = 20'000;
constexpr millis kShortestEvacuation = 500;
constexpr millis kLongestEvacuation = 15'000;
constexpr millis kOperatorRetry = 100;  // Of a request to a silent store.

}  // namespace

plan::plan(boost::asio::io_context& context,
           record& log,
           fleet& processes,
           plan_kind kind,
           std::uint64_t seed)
    : context_(context),
      log_(log),
      fleet_(processes),
      kind_(kind),
      random_(seed) {}

void plan::Start() {
  if (kind_ == plan_kind::kCut || kind_ == plan_kind::kMixed) {
    NextCut();
  }
  if (kind_ == plan_kind::kPause || kind_ == plan_kind::kMixed) {
    NextTrouble();
  }
  if (kind_ == plan_kind::kEvacuations) {
    for (const char* data_centre : kDataCentres) {
      NextEvacuation(data_centre);
    }
  }
}

void plan::End() {
  ended_ = true;
  if (kind_ == plan_kind::kEvacuations) {
    for (const char* data_centre : kDataCentres) {
      fleet_.EndEvacuation(data_centre);
    }
    return;
  }
  for (const place process : paused_) {
    fleet_.Continue(process);
  }
  for (const place process : away_) {
    fleet_.Launch(process);
  }
  paused_.clear();
  away_.clear();
  fleet_.Store().Refuse({});
  fleet_.Links().EndAll();
  log_.Line("all faults are over");
}

millis plan::Pick(millis least, millis most) {
  return std::uniform_int_distribution<millis>(least, most)(random_);
}

bool plan::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void plan::After(millis delay, std::function<void()> step) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(delay));
  timer->async_wait([this, timer, step = std::move(step)](auto failure) {
    if (!failure && !ended_) {
      step();
    }
  });
}

std::vector<place> plan::Some(place first, std::size_t of, std::size_t count) {
  std::vector<place> places(of);
  std::iota(places.begin(), places.end(), first);
  std::shuffle(places.begin(), places.end(), random_);
  places.resize(std::min(count, of));
  return places;
}

std::vector<place> plan::SomeAgents(std::size_t count) {
  return Some(fleet_.Entries(), fleet_.Agents(), count);
}

std::string plan::Names(const std::vector<place>& places) const {
  std::string text;
  for (const place process : places) {
    text += (text.empty() ? "" : " ") + fleet_.NameOf(process);
  }
  return text;
}

void plan::NextCut() {
  CutIsland(kCutTime);
  After(kCutInterval + Pick(0, 3'000), [this] { NextCut(); });
}

void plan::CutIsland(millis length) {
  const auto owner = fleet_.Owner();
  if (!owner) {
    return;
  }
  std::vector<place> island{*owner};
  const auto others = static_cast<std::size_t>(Pick(1, 3));
  for (const place entry : Some(0, fleet_.Entries(), others + 1)) {
    if (entry != *owner && island.size() <= others) {
      island.push_back(entry);
    }
  }
  for (const place agent : SomeAgents(static_cast<std::size_t>(Pick(1, 4)))) {
    island.push_back(agent);
  }
  cut made;
  made.inside = {island.begin(), island.end()};
  const bool is_one_way = kind_ == plan_kind::kMixed && Chance(0.3);
  made.inward = !is_one_way || Chance(0.5);
  made.outward = !is_one_way || !made.inward;
  log_.Say("cut for " + std::to_string(length) + " ms" +
           (made.inward ? "" : ", outward only") +
           (made.outward ? "" : ", inward only") + ": owner " + Names(island));
  const std::size_t number = fleet_.Links().Begin(std::move(made));
  After(length, [this, number] {
    log_.Say("the cut is over");
    fleet_.Links().End(number);
  });
}

void plan::CutStore(millis length) {
  cut made;
  made.inside = {fleet_.StorePlace()};
  log_.Say("store silent for " + std::to_string(length) + " ms");
  const std::size_t number = fleet_.Links().Begin(std::move(made));
  After(length, [this, number] {
    log_.Say("store back");
    fleet_.Links().End(number);
  });
}

void plan::RefuseSome(millis length) {
  std::vector<place> places =
      Some(0, fleet_.Entries(),
           static_cast<std::size_t>(
               Pick(1, static_cast<millis>(fleet_.Entries()) - 1)));
  const auto owner = fleet_.Owner();
  if (owner && Chance(0.5)) {
    places.push_back(*owner);
  }
  log_.Say("store refuses for " + std::to_string(length) +
           " ms: " + Names(places));
  fleet_.Store().Refuse({places.begin(), places.end()});
  After(length, [this] { fleet_.Store().Refuse({}); });
}

void plan::PauseSome(const std::vector<place>& places, millis longest) {
  log_.Line("pause: " + Names(places));
  for (const place process : places) {
    if (away_.contains(process) || !paused_.insert(process).second) {
      continue;
    }
    fleet_.Pause(process);
    After(Pick(kShortestPause, longest), [this, process] {
      paused_.erase(process);
      fleet_.Continue(process);
    });
  }
}

void plan::RestartSome(const std::vector<place>& places) {
  log_.Line("kill: " + Names(places));
  for (const place process : places) {
    if (paused_.contains(process) || !away_.insert(process).second) {
      continue;
    }
    fleet_.Kill(process);
    After(Pick(50, 2'000), [this, process] {
      away_.erase(process);
      fleet_.Launch(process);
    });
  }
}

void plan::NextEvacuation(const std::string& data_centre) {
  const auto evacuate = [this, data_centre] { fleet_.Evacuate(data_centre); };
  After(Pick(1'000, kLongestEvacuation), [this, data_centre, evacuate] {
    Operate([this, data_centre, evacuate] {
      evacuate();
      const millis length = Pick(kShortestEvacuation, kLongestEvacuation);
      if (Chance(0.3)) {
        After(length / 2, [this, evacuate] { Operate(evacuate); });
      }
      After(length, [this, data_centre] {
        Operate([this, data_centre] {
          fleet_.EndEvacuation(data_centre);
          NextEvacuation(data_centre);
        });
      });
    });
  });
}

void plan::Operate(std::function<void()> step) {
  if (fleet_.IsStoreSilent()) {
    After(kOperatorRetry, [this, step = std::move(step)] { Operate(step); });
  } else {
    step();
  }
}

void plan::NextTrouble() {
  const auto owner = fleet_.Owner();
  const double draw = static_cast<double>(Pick(0, 99));
  const auto agents = static_cast<double>(fleet_.Agents());
  if (draw < 25 && owner) {
    PauseSome({*owner}, kLongestPause);
  } else if (draw < 40) {
    const auto share = static_cast<double>(Pick(5, 30)) / 100;
    PauseSome(SomeAgents(static_cast<std::size_t>(agents * share)),
              kLongestPause);
  } else if (draw < 55) {
    PauseSome(Some(0, fleet_.Entries(), static_cast<std::size_t>(Pick(1, 4))),
              kLongestPause);
  } else if (draw < 65 && owner) {
    RestartSome({*owner});
  } else if (draw < 75) {
    RestartSome(SomeAgents(static_cast<std::size_t>(Pick(1, 6))));
  } else if (draw < 82) {
    RestartSome(Some(0, fleet_.Entries(), 1));
  } else if (draw < 90) {
    CutStore(Pick(300, 6'000));
  } else {
    RefuseSome(Pick(300, 6'000));
  }
  After(Pick(300, 2'500), [this] { NextTrouble(); });
}

}  // namespace chervilkeel::soak
