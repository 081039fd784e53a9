#include "control/document_records.h"

#include "base/define_json.h"
#include "document/section_parser.h"
#include "records/keys.h"

namespace shallotwick::base {

SHALLOTWICK_DEFINE_JSON(Finding, place, message, remedy)

}  // namespace shallotwick::base

namespace shallotwick::document {

SHALLOTWICK_DEFINE_JSON(Dispute, id, team, author, text, digest, base_revision,
                        opened_at, collisions)

}  // namespace shallotwick::document

namespace shallotwick::control {

SHALLOTWICK_DEFINE_JSON(DocumentHeadRecord, version)
SHALLOTWICK_DEFINE_JSON(SectionRecord, revision, text, author)
SHALLOTWICK_DEFINE_JSON(HistoryRecord, version, team, author, cause, text,
                        accepted_at_milliseconds)

storage::ReadRequest MakeDocumentReadRequest() {
  return storage::ReadRequest{
      {records::kDocumentHeadKey},
      {records::kSectionPrefix, records::kDisputePrefix}};
}

document::PlanningDocument BuildDocument(const RowSet& rows) {
  document::PlanningDocument planning;
  if (const auto head =
          rows.Find<DocumentHeadRecord>(records::kDocumentHeadKey)) {
    planning.version = head->version;
  }
  const auto sections = rows.FindAll<SectionRecord>(records::kSectionPrefix);
  for (const auto& [team, record] : sections) {
    planning.sections[team] = document::AcceptedSection{
        record.revision, record.text, record.author,
        document::ParseSection(team, record.text).section};
  }
  planning.disputes = rows.FindAll<document::Dispute>(records::kDisputePrefix);
  return planning;
}

}  // namespace shallotwick::control
