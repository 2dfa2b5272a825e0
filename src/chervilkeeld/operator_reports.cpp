#include "operator_reports.h"

#include "chervilkeel/wire_json.h"

namespace chervilkeel {

boost::json::object DumpProcess(const process_core& core) {
  const auto view = core.manifests.View();
  return {{"process", core.settings.name},
          {"incarnation", core.incarnation},
          {"address", core.RpcAddress()},
          {"data_centre", core.settings.data_centre},
          {"manifest", boost::json::parse(ToJson(view->root))}};
}

bool AnswerCommonCall(process_core& core,
                      const http_request& request,
                      const http_responder& respond) {
  if (request.path == "/metrics") {
    respond({200, core.metrics.Text(), "text/plain; version=0.0.4", {}});
    return true;
  }
  if (request.path == "/v1/explain") {
    const std::string subject = request.Query("subject");
    if (subject.empty()) {
      respond(ErrorResponse(400, "the query must name a subject"));
      return true;
    }
    wire::explain_reply reply;
    for (auto& record : core.decisions.FindBySubject(subject)) {
      *reply.add_records() = std::move(record);
    }
    respond({200, ToJson(reply), "application/json", {}});
    return true;
  }
  return false;
}

}  // namespace chervilkeel
