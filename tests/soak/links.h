// Which links between processes carry bytes.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <set>
#include <vector>

namespace chervilkeel::soak {

// A process by its number, entries first; the store comes after the last one.
using place = std::size_t;

// The links between the places inside and all others carry nothing.
struct cut {
  std::set<place> inside;
  bool outward = true;
  bool inward = true;
};

class links {
 public:
  // Returns the cut's number.
  std::size_t Begin(cut made);
  void End(std::size_t number);
  void EndAll();

  bool IsOpen(place from, place to) const;

  // Whether a cut separates it from others.
  bool IsCutOff(place process) const;

  // Runs `step` at once if the link is open, else when it is again.
  void WhenOpen(place from, place to, std::function<void()> step);

 private:
  struct waiting_step {
    place from = 0;
    place to = 0;
    std::function<void()> step;
  };

  void RunWaiting();

  std::vector<std::pair<std::size_t, cut>> cuts_;
  std::list<waiting_step> waiting_;  // The longest waiting one first.
  std::size_t last_ = 0;
};

}  // namespace chervilkeel::soak
