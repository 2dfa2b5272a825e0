#include "sharing_world.h"

#include <boost/test/unit_test.hpp>

#include "sharing_scenarios.h"

namespace chervilkeel::bench {

namespace {

// Operators count a service as harmed that is over its target this long.
constexpr millis kHarmedAfter = 4'000;
constexpr std::uint64_t kSeeds = 3;

struct sharing_fixture {
  // The mean of some seeds; the longest time over a target of all.
  static sharing_figures PlaySeeds(const sharing_scenario& scenario,
                                   sharing_policy policy) {
    sharing_figures mean;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const sharing_figures one = sharing_world(scenario, policy, seed).Play();
      mean.batch += one.batch / kSeeds;
      mean.services += one.services / kSeeds;
      mean.longest_over = std::max(mean.longest_over, one.longest_over);
    }
    return mean;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(sharing, sharing_fixture)

BOOST_AUTO_TEST_CASE(burst_of_batch_beside_swinging_services_harms_none) {
  const auto product = PlaySeeds(kBurstOfBatch, sharing_policy::kChervilkeel);
  const auto unpaced = PlaySeeds(kBurstOfBatch, sharing_policy::kNoPacing);
  BOOST_TEST(product.longest_over < kHarmedAfter);
  BOOST_TEST(unpaced.longest_over >= kHarmedAfter);
  BOOST_TEST(product.services > unpaced.services);
}

BOOST_AUTO_TEST_CASE(grown_house_with_learning_earns_more_of_both) {
  const auto product = PlaySeeds(kGrownHouse, sharing_policy::kChervilkeel);
  const auto average = PlaySeeds(kGrownHouse, sharing_policy::kNoLearning);
  BOOST_TEST(product.longest_over < kHarmedAfter);
  BOOST_TEST(product.batch > average.batch);
  BOOST_TEST(product.services > average.services);
}

// More batch work comes than can be done in time. Spreading the room over all
// jobs in turn would make nearly all of them late.
BOOST_AUTO_TEST_CASE(surge_on_a_full_house_ends_more_jobs_in_time_than_fifo) {
  const auto product =
      PlaySeeds(kSurgeOnFullHouse, sharing_policy::kChervilkeel);
  const auto fifo = PlaySeeds(kSurgeOnFullHouse, sharing_policy::kFifo);
  BOOST_TEST(product.longest_over < kHarmedAfter);
  BOOST_TEST(product.batch > fifo.batch);
}

BOOST_AUTO_TEST_CASE(same_seed_plays_the_same) {
  const auto first =
      sharing_world(kCalmDay, sharing_policy::kChervilkeel, 7).Play();
  const auto second =
      sharing_world(kCalmDay, sharing_policy::kChervilkeel, 7).Play();
  BOOST_TEST(first.batch == second.batch);
  BOOST_TEST(first.over_seconds == second.over_seconds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel::bench
