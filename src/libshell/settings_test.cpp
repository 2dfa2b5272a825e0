#include <filesystem>
#include <fstream>

#include <unistd.h>
#include <boost/test/unit_test.hpp>

#include "chervilkeel/settings.h"

namespace chervilkeel {

namespace {

const char* const kGood =
    "[process]\nrole = entry\nname = e\naddress = 127.0.0.1\n"
    "rpc_port = 1\nhttp_port = 2\ndata_centre = d\n"
    "[store]\nendpoint = 127.0.0.1:7000\n[entry]\nclient_port = 3\n";

bool HasFinding(const findings& found,
                const std::string& place,
                const std::string& part) {
  return std::any_of(found.begin(), found.end(), [&](const finding& entry) {
    return entry.place == place &&
           entry.message.find(part) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_suite)

BOOST_AUTO_TEST_CASE(settings_good_have_no_findings) {
  const auto reading = ReadSettings(kGood);
  BOOST_TEST(reading.found.empty());
  BOOST_TEST((reading.value.role == process_role::kEntry));
  BOOST_TEST(reading.value.store.port == 7000);
}

BOOST_AUTO_TEST_CASE(settings_with_many_faults_name_each_line) {
  const auto reading = ReadSettings(std::string(kGood) +
                                    "body_limit_bytes = many\n"
                                    "surprise = 1\n"
                                    "[process]\nname = again\n"
                                    "[policy]\nlean = middle\n");
  BOOST_TEST(HasFinding(reading.found, "line 12", "whole number"));
  BOOST_TEST(HasFinding(reading.found, "line 13", "not a known setting"));
  BOOST_TEST(HasFinding(reading.found, "line 15", "already set on line 3"));
  BOOST_TEST(HasFinding(reading.found, "line 17", "batch or tail"));
}

// Guards against an interval of half a second that is refused or cut to 0.
BOOST_AUTO_TEST_CASE(
    settings_checkpoint_interval_may_be_a_fraction_or_unknown) {
  const std::string jobs = std::string(kGood) + "[jobs]\ncheckpoint_s = ";
  BOOST_TEST(ReadSettings(jobs + "0.5\n").value.checkpoint_interval == 0.5);
  BOOST_TEST(ReadSettings(jobs + "0\n").found.empty());
  BOOST_TEST(
      HasFinding(ReadSettings(jobs + "-1\n").found, "line 13", "from 0"));
}

BOOST_AUTO_TEST_CASE(settings_missing_for_the_role_are_named) {
  const auto reading = ReadSettings("[process]\nrole = agent\n");
  BOOST_TEST(HasFinding(reading.found, "end of file", "[agent] cell"));
  BOOST_TEST(!HasFinding(reading.found, "end of file", "client_port"));
}

BOOST_AUTO_TEST_CASE(settings_line_without_a_value_is_a_finding) {
  const auto reading = ReadSettings(std::string(kGood) + "nonsense\n");
  BOOST_TEST(HasFinding(reading.found, "line 12", "neither"));
}

BOOST_AUTO_TEST_CASE(endpoint_with_a_host_name_is_refused) {
  endpoint out;
  BOOST_TEST(!ParseEndpoint("localhost:80", out));
  BOOST_TEST(!ParseEndpoint("127.0.0.1:0", out));
  BOOST_TEST(!ParseEndpoint("127.0.0.1", out));
  BOOST_TEST(ParseEndpoint("127.0.0.1:80", out));
}

BOOST_AUTO_TEST_CASE(described_settings_all_say_what_they_mean) {
  for (const setting_description& entry : DescribeSettings()) {
    BOOST_TEST(!entry.meaning.empty());
  }
}

// Guards against a process that does not start where a deployment lacks a value
// that its platform passes on.
BOOST_AUTO_TEST_CASE(settings_beside_the_file_are_set_unless_empty) {
  const auto path = std::filesystem::temp_directory_path() /
                    ("settings_test-" + std::to_string(::getpid()) + ".ini");
  std::ofstream(path) << kGood;
  const auto good = ReadSettingsFile(
      path, {"jobs.evacuation_ms=5000", "jobs.grant_ms=", "process.rack=r"});
  BOOST_TEST(good.found.empty());
  BOOST_TEST(good.value.evacuation_time == 5'000U);
  BOOST_TEST(good.value.grant == process_settings().grant);
  BOOST_TEST(good.value.rack == "r");
  const auto bad = ReadSettingsFile(
      path, {"process.name=again", "jobs.surprise=1", "no setting"});
  BOOST_TEST(HasFinding(bad.found, "line 14", "already set on line 3"));
  BOOST_TEST(HasFinding(bad.found, "line 16", "is not a known setting"));
  BOOST_TEST(HasFinding(bad.found, "no setting", "SECTION.KEY=VALUE"));
  std::filesystem::remove(path);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
