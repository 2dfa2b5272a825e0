// The order in which a process becomes the owner of its cell.
#include "owner_seat.h"

#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "chervilkeel/store.h"

namespace chervilkeel {

namespace {

constexpr millis kElectedWithin = 5'000;
constexpr millis kPollInterval = 10;

// Keeps values in memory. Used by the seat's thread, and by the test once that
// has ended.
class values_in_memory : public key_value_store {
 public:
  result<store_entry> Get(const std::string& key) override {
    const auto found = values_.find(key);
    if (found == values_.end()) {
      return Fail(error_code::kNotFound, key);
    }
    return found->second;
  }
  result<std::vector<store_entry>> List(const std::string& prefix) override {
    std::vector<store_entry> entries;
    for (const auto& [key, entry] : values_) {
      if (key.rfind(prefix, 0) == 0) {
        entries.push_back(entry);
      }
    }
    return entries;
  }
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected_version,
                            std::uint64_t /*lease*/) override {
    const auto found = values_.find(key);
    const std::uint64_t version =
        found == values_.end() ? 0 : found->second.version;
    if (version != expected_version) {
      return Fail(error_code::kConflict, key);
    }
    values_[key] = {key, value, ++revision_};
    return revision_;
  }
  result<void> Delete(const std::string& key,
                      std::uint64_t /*expected_version*/) override {
    values_.erase(key);
    return boost::outcome_v2::success();
  }
  result<std::uint64_t> GrantLease(millis /*duration*/) override {
    return ++revision_;
  }
  result<void> RenewLease(std::uint64_t /*lease*/) override {
    return boost::outcome_v2::success();
  }
  result<store_entry> Watch(const std::string& key,
                            std::uint64_t /*known_version*/,
                            millis /*timeout*/) override {
    return Get(key);
  }

 private:
  std::map<std::string, store_entry> values_;
  std::uint64_t revision_ = 0;
};

process_settings SettingsOfCell() {
  process_settings settings;
  settings.cell = "cell";
  settings.name = "a1";
  return settings;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(seat_of_an_owner)

// Guards against two runs of one task: once its name is in the journal, the
// next owner waits one tenure only for the agent of this process, which may
// have a hold of a former owner.
BOOST_AUTO_TEST_CASE(right_is_shortened_before_the_journal_names_the_owner) {
  process_core core(SettingsOfCell());
  core.store = std::make_unique<values_in_memory>();
  std::vector<std::size_t> keys_before_term;
  owner_seat seat(core, [&] {
    keys_before_term.push_back(core.store->List("").value().size());
  });
  seat.Start();
  for (millis waited = 0; seat.Dump().empty() && waited < kElectedWithin;
       waited += kPollInterval) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollInterval));
  }
  BOOST_TEST(!seat.Dump().empty());
  seat.Stop();
  // The owner's key is deleted at the end; the journal stays.
  BOOST_TEST(core.store->List("").value().size() >= 1U);
  // Only the owner's key was there.
  BOOST_TEST(keys_before_term == std::vector<std::size_t>{1},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chervilkeel
