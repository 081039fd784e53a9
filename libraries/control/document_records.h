#pragma once

#include <compare>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "control/row_set.h"
#include "document/planning_document.h"
#include "storage/table_service.h"

namespace shallotwick::control {

struct DocumentHeadRecord {
  uint64_t version = 0;

  auto operator<=>(const DocumentHeadRecord&) const = default;
};

struct SectionRecord {
  uint64_t revision = 0;
  std::string text;
  std::string author;

  auto operator<=>(const SectionRecord&) const = default;
};

struct HistoryRecord {
  uint64_t version = 0;
  std::string team;
  std::string author;
  std::string cause;
  std::string text;
  int64_t accepted_at_milliseconds = 0;

  auto operator<=>(const HistoryRecord&) const = default;
};

void to_json(nlohmann::json& json, const DocumentHeadRecord& record);
void from_json(const nlohmann::json& json, DocumentHeadRecord& record);
void to_json(nlohmann::json& json, const SectionRecord& record);
void from_json(const nlohmann::json& json, SectionRecord& record);
void to_json(nlohmann::json& json, const HistoryRecord& record);
void from_json(const nlohmann::json& json, HistoryRecord& record);

// Returns the read request for a consistent snapshot of the document.
storage::ReadRequest MakeDocumentReadRequest();

// Builds the document from the rows that MakeDocumentReadRequest() requests.
document::PlanningDocument BuildDocument(const RowSet& rows);

}  // namespace shallotwick::control

namespace shallotwick::base {

void to_json(nlohmann::json& json, const Finding& finding);
void from_json(const nlohmann::json& json, Finding& finding);

}  // namespace shallotwick::base

namespace shallotwick::document {

void to_json(nlohmann::json& json, const Dispute& dispute);
void from_json(const nlohmann::json& json, Dispute& dispute);

}  // namespace shallotwick::document
