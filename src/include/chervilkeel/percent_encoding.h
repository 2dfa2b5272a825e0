// Percent-encoding of text in the targets of HTTP requests.
#pragma once

#include <string>

namespace chervilkeel {

// Returns a text as it may stand in the query of a target.
std::string PercentEncoded(const std::string& text);

}  // namespace chervilkeel
