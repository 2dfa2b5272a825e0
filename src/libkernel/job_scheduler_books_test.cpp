// The books of the owner, of the agents and of the executors, joined by a bad
// channel: random disturbances by seed, with checks from the executors' side.
// CHERVILKEEL_BOOKS_SEEDS=FIRST[-LAST] plays other seeds than the default;
// CHERVILKEEL_BOOKS_PRINT=1 prints what happens.
#include <cstdlib>
#include <string>

#include <boost/test/unit_test.hpp>

#include "job_scheduler_books_fixture.h"

namespace chervilkeel {

namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kLastSeed = 40;

struct seed_range {
  std::uint64_t first = kFirstSeed;
  std::uint64_t last = kLastSeed;
};

seed_range SeedsToPlay() {
  seed_range seeds;
  const char* text = std::getenv("CHERVILKEEL_BOOKS_SEEDS");
  if (text != nullptr) {
    char* rest = nullptr;
    seeds.first = std::strtoull(text, &rest, 10);
    seeds.last =
        *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : seeds.first;
  }
  return seeds;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(books_of_runs)

BOOST_AUTO_TEST_CASE(disturbed_books_keep_the_rules_and_agree_after_calm) {
  const seed_range seeds = SeedsToPlay();
  std::uint64_t starts = 0;
  for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
    books_world world(seed);
    if (std::getenv("CHERVILKEEL_BOOKS_PRINT") != nullptr) {
      world.Print();
    }
    const std::string failure = world.Play();
    starts += world.Starts();
    if (!failure.empty()) {
      BOOST_ERROR("seed " + std::to_string(seed) + " " + failure);
    }
  }
  BOOST_TEST(starts > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
