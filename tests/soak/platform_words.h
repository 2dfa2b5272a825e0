// Words of the users' platform that the stand-ins speak.
#pragma once

namespace chervilkeel::soak {

inline constexpr const char* kTokenWord = "fencing_token";
inline constexpr const char* kNotedWord = "seen_upto";
inline constexpr const char* kExpectHeader = "X-Expect-Instance";
inline constexpr const char* kWaitHeader = "X-Deadline-Remaining";
inline constexpr const char* kConfigKey = "op/config";
inline constexpr const char* kEvacuationPrefix = "op/evacuate/";
inline constexpr const char* kStartPath = "/run-start";
inline constexpr const char* kStopPath = "/run-stop";
inline constexpr const char* kHoldPath = "/hold";
inline constexpr const char* kAnnouncePath = "/instances/";
inline constexpr const char* kColdWord = "cold_remaining_ms";
inline constexpr const char* kKeyPath = "/kv-key";
inline constexpr const char* kRangePath = "/kv-range";
inline constexpr const char* kWatchPath = "/kv-watch";
inline constexpr const char* kChangePath = "/kv-txn";
inline constexpr const char* kLeasePath = "/kv-lease";
inline constexpr const char* kKeepPath = "/kv-keep/";
inline constexpr const char* kLeaseEndPath = "/kv-lease-end/";
inline constexpr const char* kConditionsWord = "if_revision";
inline constexpr const char* kStoreRevisionWord = "store_revision";
inline constexpr const char* kEstimateWord = "estimate_ms";
inline constexpr const char* kLastsWord = "long_running";
inline constexpr const char* kRejectsWord = "rejects_overload";

}  // namespace chervilkeel::soak
