#include "peer_client.h"

#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::scheduler {
namespace {

// Peers answer from memory. A busy host takes some tens of milliseconds.
constexpr auto kAnswerTimeout = std::chrono::milliseconds(500);

}  // namespace

void PeerClient::AskState(const std::string& address, const std::string& pool,
                          const std::string& job, OnState on_done) {
  http::Request request;
  request.target = std::string("/") + kJobStatePath + "/" +
                   http::PercentEncode(pool) + "/" + http::PercentEncode(job);
  const std::string url = "http://" + address + request.target;
  m_client.Send(
      url, std::move(request),
      http::TransferOptions::WithTimeout(kAnswerTimeout),
      m_lifetime.Guard([job, on_done = std::move(on_done)](
                           const http::TransferResult& result) {
        const bool is_answered =
            result.outcome == http::TransferOutcome::kComplete &&
            result.response.status == 200;
        if (!is_answered) {
          on_done(std::nullopt);
          return;
        }
        try {
          on_done(scheduling::DecodeSummary(result.response.body).state);
        } catch (const std::runtime_error& error) {
          base::Log(base::events::kMalformedFrame,
                    {{"job", job}, {"fault", error.what()}});
          on_done(std::nullopt);
        }
      }));
}

}  // namespace shallotwick::scheduler
