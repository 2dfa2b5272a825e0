#include "chervilkeel/evacuation_state.h"

#include <boost/test/unit_test.hpp>

namespace chervilkeel {

namespace {

struct evacuation_fixture {
  evacuation_state state;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_lists, evacuation_fixture)

// Guards against a peer that lags and withdraws a newer evacuation.
BOOST_AUTO_TEST_CASE(older_list_that_arrives_late_is_ignored) {
  BOOST_TEST(state.Update({20, {"north"}}, 1'000));
  BOOST_TEST(!state.Update({19, {}}, 1'100));
  BOOST_TEST(state.IsEvacuated("north"));
}

// Guards against an evacuation that is known since its last confirmation only.
BOOST_AUTO_TEST_CASE(confirmed_evacuation_keeps_its_begin) {
  state.Update({20, {"north"}}, 1'000);
  BOOST_TEST(!state.Update({25, {"north"}}, 3'000));
  BOOST_TEST(state.Since().at("north") == 1'000);
  state.Update({30, {}}, 4'000);
  state.Update({40, {"north", "south"}}, 5'000);
  BOOST_TEST(state.Since().at("north") == 5'000);
}

BOOST_AUTO_TEST_CASE(empty_list_counts_as_known) {
  BOOST_TEST(!state.IsKnown());
  BOOST_TEST(!state.Update({0, {}}, 1'000));
  BOOST_TEST(state.IsKnown());
}

// Guards against keys by another writer that would name every data centre or
// fill the log.
BOOST_AUTO_TEST_CASE(key_without_a_plausible_name_names_no_data_centre) {
  BOOST_TEST(*EvacuatedDataCentre("a/", "a/north-1") == "north-1");
  for (const std::string& rest :
       {std::string(), std::string("x/y"), std::string("x y"),
        std::string("\x01"), std::string(65, 'n')}) {
    BOOST_TEST(!EvacuatedDataCentre("a/", "a/" + rest));
  }
  BOOST_TEST(!EvacuatedDataCentre("a/", "b/north"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
