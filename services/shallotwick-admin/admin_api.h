#pragma once

#include <string>
#include <vector>

#include "base/metrics.h"
#include "control/store_reachability.h"
#include "document_store.h"
#include "http/message.h"
#include "storage/http_platform.h"
#include "team_tokens.h"

namespace shallotwick::admin {

struct AdminApiOptions {
  std::string arbiter;
  int reserve_per_data_centre = 0;
  std::string team_tokens;
};

// The operators' API; docs/API.md describes it. Keeps nothing.
class AdminApi {
 public:
  AdminApi(storage::TableService& table,
           control::StoreReachability& store_reachability,
           const AdminApiOptions& options);

  http::Response Handle(const http::Request& request);

 private:
  using Path = std::vector<std::string>;

  http::Response Route(const http::Request& request, const Path& path);
  http::Response ShowDocument();
  http::Response ShowSection(const std::string& team);
  http::Response SubmitSection(const std::string& team,
                               const http::Request& request);
  http::Response CheckSection(const std::string& team,
                              const http::Request& request);
  http::Response ShowDisputes();
  http::Response WithdrawDispute(const std::string& dispute,
                                 const http::Request& request);
  http::Response ShowHistory(const http::Request& request);
  http::Response ShowGateways();
  http::Response ShowHosts(const http::Request& request);
  http::Response ShowPools();
  http::Response ShowWaves();

  http::Response DescribeResult(const std::string& team,
                                const document::SubmissionResult& result);
  void CountVerdict(const std::string& verdict);

  storage::TableService& m_table;
  control::StoreReachability& m_store_reachability;
  DocumentStore m_documents;
  TeamTokens m_tokens;
  base::MetricRegistry m_metrics;
};

}  // namespace shallotwick::admin
