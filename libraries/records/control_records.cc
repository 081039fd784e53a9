#include "records/control_records.h"

#include "base/define_json.h"

namespace shallotwick::records {

SHALLOTWICK_DEFINE_JSON(LeaseRecord, holder, token, renewal,
                        time_to_live_milliseconds)
SHALLOTWICK_DEFINE_JSON(MemberRecord, gateway, incarnation, link_address,
                        http_address, data_centre, renewal, view_version,
                        document_version, ready)
SHALLOTWICK_DEFINE_JSON(PoolRecord, pool, unavailable)
SHALLOTWICK_DEFINE_JSON(ViewHeadRecord, version, document_version)

}  // namespace shallotwick::records
