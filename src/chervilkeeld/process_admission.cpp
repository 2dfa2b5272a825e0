#include "process_admission.h"

namespace chervilkeel {

std::shared_ptr<http_admission> MakeAdmission(const process_settings& settings,
                                              process_metrics& metrics) {
  auto admission = std::make_shared<http_admission>(
      MakeHttpLimits(settings, DescriptorLimit()));
  admission->OnRefused([&metrics](refusal_cause cause) {
    metrics.CountEvent(std::string("http_refused_") + NameOf(cause));
  });
  return admission;
}

void ShowAdmission(const http_admission& admission, process_metrics& metrics) {
  metrics.SetValue("http_bytes", static_cast<double>(admission.HeldBytes()));
  metrics.SetValue("http_connections",
                   static_cast<double>(admission.Connections()));
}

}  // namespace chervilkeel
