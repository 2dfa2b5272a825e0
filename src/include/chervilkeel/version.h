// The version of chervilkeel.
#pragma once

namespace chervilkeel {

inline constexpr const char* kVersion = "chervilkeel 0.1.0";

}  // namespace chervilkeel
