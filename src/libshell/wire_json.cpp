#include "chervilkeel/wire_json.h"

#include <google/protobuf/util/json_util.h>

namespace chervilkeel {

namespace util = google::protobuf::util;

std::string ToJson(const google::protobuf::Message& message) {
  util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string text;
  // Fails only on messages that hold an Any, and none does.
  (void)util::MessageToJsonString(message, &text, options);
  return text;
}

result<void> FromJson(const std::string& text,
                      const std::string& what,
                      google::protobuf::Message& message) {
  util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = util::JsonStringToMessage(text, &message, options);
  if (!status.ok()) {
    return Fail(error_code::kInvalid, what + ": " + status.ToString());
  }
  return boost::outcome_v2::success();
}

}  // namespace chervilkeel
