#include "control/view_records.h"

#include "base/define_json.h"
#include "records/control_records.h"
#include "records/keys.h"

namespace shallotwick::control {

SHALLOTWICK_DEFINE_JSON(ViewServicesRecord, document_version, services, quotas)
SHALLOTWICK_DEFINE_JSON(ViewMembersRecord, members)

ViewServicesRecord MakeViewServices(const document::EffectivePlan& plan) {
  ViewServicesRecord record;
  record.document_version = plan.version;
  for (const document::ServicePlan& service : plan.services) {
    record.services[service.name] =
        routing::ServiceRoute{service.name,
                              service.pool,
                              service.slots,
                              service.connections,
                              service.deadline_milliseconds,
                              service.idempotent_methods};
  }
  record.quotas = plan.quotas;
  return record;
}

storage::ReadRequest MakeViewReadRequest() {
  return storage::ReadRequest{{}, {records::kHostPrefix, records::kViewPrefix}};
}

std::optional<routing::RoutingView> BuildView(const RowSet& rows) {
  const auto head = rows.Find<records::ViewHeadRecord>(records::kViewHeadKey);
  if (!head) {
    return std::nullopt;
  }
  routing::RoutingView view;
  view.version = head->version;
  view.document_version = head->document_version;
  const auto hosts = rows.FindAll<records::HostRecord>(records::kHostPrefix);
  for (const auto& [name, host] : hosts) {
    view.hosts[name] = routing::MakeHostRoute(host);
  }
  if (auto services =
          rows.Find<ViewServicesRecord>(records::kViewServicesKey)) {
    view.services = std::move(services->services);
    view.quotas = std::move(services->quotas);
  }
  if (auto members = rows.Find<ViewMembersRecord>(records::kViewMembersKey)) {
    view.members = std::move(members->members);
  }
  return view;
}

}  // namespace shallotwick::control
