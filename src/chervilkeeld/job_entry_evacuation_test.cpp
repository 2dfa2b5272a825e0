// What an entry does and shows of the operators' evacuations.
#include "job_entry_fixture.h"

namespace chervilkeel {

namespace {

// One entry that is never elected.
struct evacuation_fixture : ownership_fixture {
  evacuation_fixture() {
    memory.refuses_leases = true;
    memory.Put("evacuations/north", "{}");
  }

  std::string Page(const std::string& path) {
    http_request request;
    request.path = path;
    std::string body;
    owner->entry->HandleOperator(
        request,
        [&body](const http_response& response) { body = response.body; });
    return body;
  }

  bool Shows(const std::string& path, const std::string& text) {
    return Page(path).find(text) != std::string::npos;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(evacuations_at_entries, evacuation_fixture)

// Guards against operators who see evacuations only at the owner, and a metric
// that keeps the last value of a former owner.
BOOST_AUTO_TEST_CASE(entry_without_the_jobs_shows_the_evacuated_data_centres) {
  settings.evacuation_time = 5'000;
  owner.emplace(context, memory, settings);
  BOOST_TEST(Shows("/dump", "\"data_centre\":\"north\""));
  BOOST_TEST(Shows("/metrics", "{name=\"evacuated_data_centres\"} 1"));
}

BOOST_AUTO_TEST_CASE(entry_that_follows_no_evacuations_makes_no_call) {
  owner.emplace(context, memory, settings);
  BOOST_TEST(memory.lists_of.count("evacuations/") == 0);
  BOOST_TEST(!Shows("/dump", "north"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
