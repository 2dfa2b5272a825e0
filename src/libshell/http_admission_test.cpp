// What the servers of a process take, and which connection gives way.
#include <boost/test/unit_test.hpp>

#include "chervilkeel/http_admission.h"
#include "chervilkeel/json_extent.h"

namespace chervilkeel {

namespace {

constexpr std::uint64_t kFixed = http_admission::kConnectionBytes;
constexpr millis kStalled = http_admission::kStalledAfter;

// Two listeners, with room for two connections and 10,000 bytes each.
struct admission_fixture {
  admission_fixture() {
    http_limits limits;
    limits.budget_bytes = 2 * (2 * kFixed + 10'000);
    limits.connections = 4;
    admission = std::make_shared<http_admission>(limits);
    admission->OnRefused([this](refusal_cause cause) { refused = cause; });
    callers = admission->AddListener({"callers", 50});
    others = admission->AddListener({"others", 50});
  }

  std::unique_ptr<admitted_connection> Admit(std::size_t listener, millis now) {
    return admission->Admit(listener, "client", now, [this] { ++closed; });
  }

  std::shared_ptr<http_admission> admission;
  std::size_t callers = 0;
  std::size_t others = 0;
  int closed = 0;
  refusal_cause refused = refusal_cause::kDisplaced;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_admission_suite, admission_fixture)

// Guards against a crowd at one listener that shuts out another one's clients.
BOOST_AUTO_TEST_CASE(full_listener_leaves_the_share_of_the_other) {
  const auto first = Admit(callers, 0);
  const auto second = Admit(callers, 0);
  BOOST_TEST(first->Hold(10'000, 0));
  BOOST_TEST(!Admit(callers, 0));
  BOOST_TEST((refused == refusal_cause::kConnections));
  const auto other = Admit(others, 0);
  BOOST_TEST_REQUIRE(other);
  BOOST_TEST(other->Hold(10'000, 0));
  BOOST_TEST(closed == 0);
}

// Guards against a crowd of stopped clients that keeps all others out.
BOOST_AUTO_TEST_CASE(connection_without_progress_for_longest_gives_way) {
  const auto first = Admit(callers, 0);
  const auto second = Admit(callers, 10);
  BOOST_TEST(first->Hold(6'000, 0));
  BOOST_TEST(!second->Hold(6'000, 20));
  BOOST_TEST(second->Hold(6'000, kStalled));
  BOOST_TEST(closed == 1);
  BOOST_TEST(!first->Hold(1, kStalled));
  BOOST_TEST(admission->HeldBytes() == kFixed + 6'000);
  BOOST_TEST(Admit(callers, kStalled) != nullptr);
}

// Guards against closing a connection whose request may already have effects.
BOOST_AUTO_TEST_CASE(connection_in_service_does_not_give_way) {
  const auto first = Admit(callers, 0);
  const auto second = Admit(callers, 0);
  BOOST_TEST(first->Hold(10'000, 0));
  first->Enter(connection_stage::kInService, 0);
  second->Enter(connection_stage::kInService, 0);
  BOOST_TEST(!second->Hold(1, 100 * kStalled));
  BOOST_TEST(!Admit(callers, 100 * kStalled));
  BOOST_TEST(closed == 0);
}

BOOST_AUTO_TEST_CASE(ended_connection_gives_back_what_it_held) {
  Admit(callers, 0)->HoldAnyway(1'000'000);
  BOOST_TEST(admission->HeldBytes() == 0U);
  BOOST_TEST(admission->Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(limits_of_a_small_machine_fit_its_memory_and_descriptors) {
  process_settings settings;
  settings.memory_mb = 160;
  const http_limits limits = MakeHttpLimits(settings, 4'100);
  BOOST_TEST(limits.budget_bytes == 40U << 20U);
  BOOST_TEST(limits.connections == 4'100U - 4'100U / 16);
  BOOST_TEST(MakeHttpLimits(settings, 512).connections == 512U - 128U);
  settings.http_connections = 10;
  BOOST_TEST(MakeHttpLimits(settings, 512).connections == 10U);
}

// Guards against a client that sends a byte now and then for ever.
BOOST_AUTO_TEST_CASE(latest_end_moves_with_the_bytes_and_not_with_the_reads) {
  http_limits limits;
  limits.grace = 100;
  limits.bytes_per_s = 1'000;
  BOOST_TEST(limits.LatestEnd(5, 0) == 105);
  BOOST_TEST(limits.LatestEnd(5, 2'000) == 2'105);
}

// Guards against JSON that takes many times the memory of its text.
BOOST_AUTO_TEST_CASE(extent_of_text_counts_depth_and_values_outside_strings) {
  const json_extent flat = MeasureJson(R"({"a":[1,2],"b,[\"":"[,{"})");
  BOOST_TEST(flat.depth == 2U);
  BOOST_TEST(flat.values >= 5U);
  BOOST_TEST(flat.values <= 7U);
  BOOST_TEST(MeasureJson(std::string(1'000, '[')).depth == 1'000U);
  BOOST_TEST(MeasureJson("").values == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
