// Messages as JSON text, for values in the store and for reports.
#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "chervilkeel/result.h"

namespace chervilkeel {

// Writes a message as one line of JSON with the field names of the .proto.
std::string ToJson(const google::protobuf::Message& message);

// Reads a message; kInvalid names `what` when the text is not of its form.
result<void> FromJson(const std::string& text,
                      const std::string& what,
                      google::protobuf::Message& message);

}  // namespace chervilkeel
