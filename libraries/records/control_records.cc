#include "records/control_records.h"

#include "base/define_json.h"

namespace shallotwick::records {

SHALLOTWICK_DEFINE_JSON(LeaseRecord, holder, token, renewal,
                        time_to_live_milliseconds)
SHALLOTWICK_DEFINE_JSON(SystemRecord, identity)

void to_json(nlohmann::json& json, const MemberRecord& record) {
  json = {{"gateway", record.gateway},
          {"incarnation", record.incarnation},
          {"link_address", record.link_address},
          {"http_address", record.http_address},
          {"data_centre", record.data_centre},
          {"renewal", record.renewal},
          {"view_version", record.view_version},
          {"document_version", record.document_version},
          {"ready", record.ready},
          {"limit_milliseconds", record.limit_milliseconds}};
}

void from_json(const nlohmann::json& json, MemberRecord& record) {
  json.at("gateway").get_to(record.gateway);
  json.at("incarnation").get_to(record.incarnation);
  json.at("link_address").get_to(record.link_address);
  json.at("http_address").get_to(record.http_address);
  json.at("data_centre").get_to(record.data_centre);
  json.at("renewal").get_to(record.renewal);
  json.at("view_version").get_to(record.view_version);
  json.at("document_version").get_to(record.document_version);
  json.at("ready").get_to(record.ready);
  record.limit_milliseconds = json.value("limit_milliseconds", uint64_t{0});
}

SHALLOTWICK_DEFINE_JSON(PoolRecord, pool, unavailable)
SHALLOTWICK_DEFINE_JSON(ViewHeadRecord, version, document_version)

}  // namespace shallotwick::records
