#include "harness/load.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/blocking_client.h"

namespace shallotwick::harness {
namespace {

bool IsOwnWholeAnswer(const http::Response& response,
                      const std::string& request, const std::string& body) {
  const std::string own = request + " " + body;
  return http::FindHeader(response.headers, "Standin-Request") == request &&
         response.body.find(own) != std::string::npos;
}

}  // namespace

Load::Load(LoadOptions options) : m_options(std::move(options)) {
  for (int number = 0; number < m_options.threads; ++number) {
    m_threads.emplace_back([this, number] { RunThread(number); });
  }
}

Load::~Load() { Stop(); }

LoadResult Load::Stop() {
  m_stopping.store(true);
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_result;
}

void Load::RunThread(int number) {
  size_t gateway = static_cast<size_t>(number);
  for (int count = 0; !m_stopping.load(); ++count) {
    const std::string request = m_options.prefix + "-" +
                                std::to_string(number) + "-" +
                                std::to_string(count);
    const bool is_post =
        m_options.post_every > 0 && count % m_options.post_every == 0;
    SendOne(request, is_post, gateway++ % m_options.gateway_addresses.size());
    if (m_options.pause_milliseconds > 0) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(m_options.pause_milliseconds));
    }
  }
}

void Load::SendOne(const std::string& request, bool is_post, size_t gateway) {
  const std::string path = "/s/" + m_options.service + "/item";
  http::Request message{
      is_post ? "POST" : "GET",
      path,
      {{"Standin-Request", request},
       {"Standin-Work-Ms", std::to_string(m_options.work_milliseconds)}},
      is_post ? "body of " + request : ""};
  if (is_post) {
    message.headers.emplace_back("Idempotency-Key", request);
  }
  const std::string body = message.body;
  const http::TransferResult result =
      http::SendAndWait("http://" + m_options.gateway_addresses[gateway] + path,
                        std::move(message));
  m_sent.fetch_add(1);
  const std::string outcome =
      http::FindHeader(result.response.headers, "Shallotwick-Outcome")
          .value_or("");
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_result.sent;
  if (result.outcome != http::TransferOutcome::kComplete) {
    ++m_result.no_answer;
  } else if (outcome == "complete") {
    ++m_result.complete;
    m_result.complete_requests.push_back(request);
    m_result.wrong_answers +=
        IsOwnWholeAnswer(result.response, request, body) ? 0 : 1;
  } else {
    const nlohmann::json problem =
        nlohmann::json::parse(result.response.body, nullptr, false);
    ++m_result.reasons[problem.is_object() ? problem.value("title", "?") : "?"];
    if (outcome == "not-run") {
      ++m_result.not_run;
      m_result.not_run_requests.push_back(request);
    } else {
      ++m_result.unknown;
    }
  }
}

}  // namespace shallotwick::harness
