#include <boost/test/unit_test.hpp>

#include "chervilkeel/manifest.h"

namespace chervilkeel {

namespace {

const char* const kValidManifest = R"({
  "house": "h", "cells": ["a", "b"],
  "teams": [{"name": "t", "processors": 4, "memory_mb": 100}],
  "services": [{"name": "s", "team": "t", "class": "short"}],
  "jobs": [{"name": "j", "team": "t", "kind": "batch", "tasks": 2,
            "processors": 0.5, "memory_mb": 10, "run_ms": 100}]})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

bool HasFinding(const findings& found,
                const std::string& place,
                const std::string& part) {
  for (const finding& entry : found) {
    if (entry.place == place && entry.message.find(part) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(manifest_reading_suite)

BOOST_AUTO_TEST_CASE(valid_manifest_has_no_findings) {
  const manifest_reading reading = ReadManifest(kValidManifest);
  BOOST_TEST(reading.found.empty());
  BOOST_TEST(reading.value.jobs.at("j@1").need().milli_processors() == 500U);
  BOOST_TEST(reading.value.services.at("s").idempotent);
}

BOOST_AUTO_TEST_CASE(manifest_syntax_error_names_line_and_column) {
  const manifest_reading reading = ReadManifest("{\n  \"house\": oops}");
  BOOST_TEST_REQUIRE(reading.found.size() == 1U);
  BOOST_TEST(reading.found[0].place.find("line 2") == 0U);
}

BOOST_AUTO_TEST_CASE(manifest_faults_are_all_reported) {
  std::string text = Replaced(kValidManifest, "\"tasks\": 2", "\"tasks\": 0");
  text = Replaced(text, "\"class\": \"short\"", "\"class\": \"quick\"");
  text = Replaced(text, "\"team\": \"t\", \"kind\"",
                  "\"team\": \"nobody\", \"surprise\": 1, \"kind\"");
  const manifest_reading reading = ReadManifest(text);
  BOOST_TEST(HasFinding(reading.found, "jobs[0].tasks", "whole number"));
  BOOST_TEST(HasFinding(reading.found, "services[0].class", "short"));
  BOOST_TEST(HasFinding(reading.found, "jobs[0].surprise", "not a known"));
  BOOST_TEST(HasFinding(reading.found, "jobs", "nobody"));
}

BOOST_AUTO_TEST_CASE(text_after_the_manifest_is_a_finding) {
  BOOST_TEST(ReadManifest(std::string(kValidManifest) + " {}").found.size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(sections_split_and_joined_give_the_same_manifest) {
  const auto sections = SplitSections(kValidManifest);
  const manifest_reading again = ReadManifest(JoinSections(sections));
  BOOST_TEST(again.found.empty());
  BOOST_TEST(again.value.jobs.count("j@1") == 1U);
  const auto twice = SplitSections(JoinSections(sections));
  BOOST_TEST_REQUIRE(twice.size() == sections.size());
  for (std::size_t i = 0; i < sections.size(); ++i) {
    BOOST_TEST(twice[i].hash() == sections[i].hash());
  }
}

BOOST_AUTO_TEST_CASE(home_cell_changes_only_for_keys_of_a_removed_cell) {
  const std::vector<std::string> three = {"a", "b", "c"};
  const std::vector<std::string> two = {"a", "b"};
  for (int i = 0; i < 200; ++i) {
    const std::string key = "job-" + std::to_string(i);
    const std::string before = HomeCell(key, three);
    if (before != "c") {
      BOOST_TEST(HomeCell(key, two) == before);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
