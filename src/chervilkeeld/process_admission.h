// The admission of HTTP clients of one process, with its metrics.
#pragma once

#include <memory>

#include "chervilkeel/http_admission.h"
#include "metrics.h"

namespace chervilkeel {

// What the listeners of a process may use, in percent. Operators have the rest.
inline constexpr std::uint64_t kClientsPercent = 85;
inline constexpr std::uint64_t kReadinessPercent = 5;
inline constexpr std::uint64_t kOperatorsPercent = 10;

// Makes the object that all HTTP servers of a process share. `metrics` counts
// each refusal by its cause, and has to outlive it.
std::shared_ptr<http_admission> MakeAdmission(const process_settings& settings,
                                              process_metrics& metrics);

// Sets the gauges of what the connections hold now.
void ShowAdmission(const http_admission& admission, process_metrics& metrics);

}  // namespace chervilkeel
