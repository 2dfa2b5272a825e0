#include "chervilkeel/percent_encoding.h"

#include <cctype>
#include <cstdio>
#include <string_view>

namespace chervilkeel {

std::string PercentEncoded(const std::string& text) {
  constexpr std::string_view kPlain = "-._~/";
  std::string encoded;
  for (const unsigned char letter : text) {
    const bool is_plain =
        std::isalnum(letter) != 0 ||
        kPlain.find(static_cast<char>(letter)) != std::string_view::npos;
    char code[4];
    std::snprintf(code, sizeof code, "%%%02X", letter);
    encoded += is_plain ? std::string(1, static_cast<char>(letter))
                        : std::string(code);
  }
  return encoded;
}

}  // namespace chervilkeel
