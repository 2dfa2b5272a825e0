// Reports in words, for people.
#pragma once

#include <string>

#include <boost/json.hpp>

namespace chervilkeel {

void PrintStatus(const boost::json::object& report);
void PrintJobs(const boost::json::object& report);
void PrintExplanation(const boost::json::object& report);
void PrintManifest(const boost::json::object& report);
void PrintHistory(const boost::json::object& report);

// Prints what became of a commit; `status` is the HTTP status of the answer.
void PrintCommit(unsigned status, const std::string& body);

}  // namespace chervilkeel
