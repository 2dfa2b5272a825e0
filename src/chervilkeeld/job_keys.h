// Where the jobs stand in the store.
#pragma once

#include <string>

namespace chervilkeel {

inline constexpr const char* kOwnerKey = "chervilkeel/owner";
inline constexpr const char* kEpochKey = "chervilkeel/epoch";
// The entries that can be elected.
inline constexpr const char* kCandidatesKey = "chervilkeel/candidates";
// Set at the election of an entry that wasn't listed as a candidate. While it
// is there, a former owner may grant without the store, by the answers of those
// that are.
inline constexpr const char* kFormerGrantKey = "chervilkeel/former-grant";
inline constexpr const char* kMembersKey = "chervilkeel/members";
// What owners have learned of images; worth having, never needed.
inline constexpr const char* kPressureKey = "chervilkeel/pressure";
inline constexpr const char* kCommitKey = "chervilkeel/commit";
inline constexpr const char* kInboxPrefix = "chervilkeel/inbox/";
inline constexpr const char* kJobPrefix = "chervilkeel/inbox/job/";
inline constexpr const char* kCancelPrefix = "chervilkeel/inbox/cancel/";
inline constexpr const char* kProgressPrefix = "chervilkeel/progress/";

}  // namespace chervilkeel
