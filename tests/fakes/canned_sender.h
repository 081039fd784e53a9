#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "http/request_sender.h"

namespace shallotwick::fakes {

// Answers each request at once: with the next of the given answers, the last of
// which is repeated.
class CannedSender : public http::RequestSender {
 public:
  explicit CannedSender(std::vector<http::Response> answers)
      : m_answers(std::move(answers)) {}

  void Send(const std::string& /*url*/, http::Request /*request*/,
            const http::TransferOptions& /*options*/,
            http::OnTransferEnd on_done) override {
    http::TransferResult result;
    result.outcome = http::TransferOutcome::kComplete;
    result.response = m_answers[std::min(m_sent, m_answers.size() - 1)];
    ++m_sent;
    on_done(result);
  }

 private:
  std::vector<http::Response> m_answers;
  size_t m_sent = 0;
};

}  // namespace shallotwick::fakes
