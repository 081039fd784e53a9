#include "http/client.h"

#include <curl/curl.h>

#include <asio.hpp>
#include <map>
#include <thread>
#include <utility>

#include "http/easy_transfer.h"

namespace shallotwick::http {
namespace {

// Maximum number of idle connections that are kept open, over all servers.
constexpr long kMaxIdleConnections = 2'000;
// Interval at which active transfers are checked for the first byte timeout.
constexpr auto kFirstByteCheckInterval = std::chrono::milliseconds(50);

}  // namespace

class Client::Implementation {
 public:
  explicit Implementation(int connections_per_server)
      : m_work(asio::make_work_guard(m_context)),
        m_curl_timer(m_context),
        m_first_byte_timer(m_context),
        m_multi(curl_multi_init()) {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(connections_per_server));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Implementation() {
    asio::post(m_context, [this] { Close(); });
    m_thread.join();
    curl_multi_cleanup(m_multi);
  }

  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_done) {
    asio::post(m_context, [this, url, request = std::move(request), options,
                           on_done = std::move(on_done)]() mutable {
      Start(url, std::move(request), options, std::move(on_done));
    });
  }

 private:
  struct ActiveTransfer {
    std::unique_ptr<EasyTransfer> transfer;
    OnTransferEnd on_done;
  };

  // A socket of libcurl's that Asio polls. libcurl owns and closes the socket,
  // so the descriptor must be released and not closed.
  struct PolledSocket {
    PolledSocket(asio::io_context& context, curl_socket_t socket)
        : descriptor(context, socket) {}
    asio::posix::stream_descriptor descriptor;
    int poll_events = CURL_POLL_NONE;
    bool is_waiting_for_read = false;
    bool is_waiting_for_write = false;
  };

  void Start(const std::string& url, Request request,
             const TransferOptions& options, OnTransferEnd on_done) {
    auto transfer =
        std::make_unique<EasyTransfer>(url, std::move(request), options);
    CURL* handle = transfer->GetHandle();
    m_active_transfers[handle] =
        ActiveTransfer{std::move(transfer), std::move(on_done)};
    curl_multi_add_handle(m_multi, handle);
    ScheduleFirstByteCheck();
  }

  void Close() {
    m_is_closing = true;
    m_curl_timer.cancel();
    m_first_byte_timer.cancel();
    for (auto& [handle, active] : m_active_transfers) {
      curl_multi_remove_handle(m_multi, handle);
    }
    auto aborted = std::move(m_active_transfers);
    m_active_transfers.clear();
    for (auto& [handle, active] : aborted) {
      TransferResult result =
          active.transfer->ExtractResult(CURLE_ABORTED_BY_CALLBACK);
      active.on_done(std::move(result));
    }
    for (auto& [socket, polled] : m_polled_sockets) {
      polled->descriptor.release();
    }
    m_polled_sockets.clear();
    m_work.reset();
    m_context.stop();
  }

  static int OnSocketChange(CURL* /*handle*/, curl_socket_t socket,
                            int poll_events, void* self,
                            void* /*socket_data*/) {
    static_cast<Implementation*>(self)->UpdatePolledSocket(socket, poll_events);
    return 0;
  }

  static int OnTimerChange(CURLM* /*multi*/, long milliseconds, void* self) {
    static_cast<Implementation*>(self)->SetCurlTimer(milliseconds);
    return 0;
  }

  void UpdatePolledSocket(curl_socket_t socket, int poll_events) {
    if (m_is_closing) {
      return;
    }
    if (poll_events == CURL_POLL_REMOVE) {
      const auto found = m_polled_sockets.find(socket);
      if (found != m_polled_sockets.end()) {
        found->second->descriptor.release();
        m_polled_sockets.erase(found);
      }
      return;
    }
    auto& polled = m_polled_sockets[socket];
    if (!polled) {
      polled = std::make_shared<PolledSocket>(m_context, socket);
    }
    polled->poll_events = poll_events;
    PollSocket(socket, polled);
  }

  void PollSocket(curl_socket_t socket,
                  const std::shared_ptr<PolledSocket>& polled) {
    using Descriptor = asio::posix::stream_descriptor;
    if ((polled->poll_events & CURL_POLL_IN) != 0 &&
        !polled->is_waiting_for_read) {
      polled->is_waiting_for_read = true;
      polled->descriptor.async_wait(
          Descriptor::wait_read,
          [this, socket, polled](const std::error_code& error) {
            polled->is_waiting_for_read = false;
            OnSocketReady(socket, polled, CURL_CSELECT_IN, error);
          });
    }
    if ((polled->poll_events & CURL_POLL_OUT) != 0 &&
        !polled->is_waiting_for_write) {
      polled->is_waiting_for_write = true;
      polled->descriptor.async_wait(
          Descriptor::wait_write,
          [this, socket, polled](const std::error_code& error) {
            polled->is_waiting_for_write = false;
            OnSocketReady(socket, polled, CURL_CSELECT_OUT, error);
          });
    }
  }

  void OnSocketReady(curl_socket_t socket,
                     const std::shared_ptr<PolledSocket>& polled, int ready,
                     const std::error_code& error) {
    if (m_is_closing || error == asio::error::operation_aborted) {
      return;
    }
    int running_handles = 0;
    curl_multi_socket_action(m_multi, socket, error ? CURL_CSELECT_ERR : ready,
                             &running_handles);
    FinishCompletedTransfers();
    const auto found = m_polled_sockets.find(socket);
    if (found != m_polled_sockets.end() && found->second == polled) {
      PollSocket(socket, polled);
    }
  }

  void SetCurlTimer(long milliseconds) {
    m_curl_timer.cancel();
    if (milliseconds < 0 || m_is_closing) {
      return;
    }
    m_curl_timer.expires_after(std::chrono::milliseconds(milliseconds));
    m_curl_timer.async_wait([this](const std::error_code& error) {
      if (!error) {
        OnCurlTimeout();
      }
    });
  }

  // Schedules the next check for first byte timeouts. libcurl calls the
  // progress function only when it processes a handle, so it would not notice
  // the timeout while no data arrives.
  void ScheduleFirstByteCheck() {
    if (m_is_check_scheduled || m_is_closing) {
      return;
    }
    m_is_check_scheduled = true;
    m_first_byte_timer.expires_after(kFirstByteCheckInterval);
    m_first_byte_timer.async_wait([this](const std::error_code& error) {
      m_is_check_scheduled = false;
      if (error || m_is_closing) {
        return;
      }
      AbortOnFirstByteTimeout();
      if (!m_active_transfers.empty()) {
        ScheduleFirstByteCheck();
      }
    });
  }

  void AbortOnFirstByteTimeout() {
    std::vector<CURL*> timed_out;
    for (const auto& [handle, active] : m_active_transfers) {
      if (active.transfer->HasFirstByteTimedOut()) {
        timed_out.push_back(handle);
      }
    }
    for (CURL* handle : timed_out) {
      Finish(handle, CURLE_OPERATION_TIMEDOUT);
    }
  }

  void OnCurlTimeout() {
    int running_handles = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running_handles);
    FinishCompletedTransfers();
  }

  void FinishCompletedTransfers() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &messages_left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* handle, CURLcode code) {
    const auto found = m_active_transfers.find(handle);
    if (found == m_active_transfers.end()) {
      return;
    }
    ActiveTransfer active = std::move(found->second);
    m_active_transfers.erase(found);
    // libcurl closes the connection of a handle that is removed before its
    // transfer has completed.
    curl_multi_remove_handle(m_multi, handle);
    TransferResult result = active.transfer->ExtractResult(code);
    active.transfer.reset();
    active.on_done(std::move(result));
  }

  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  asio::steady_timer m_curl_timer;
  asio::steady_timer m_first_byte_timer;
  CURLM* m_multi;
  std::map<CURL*, ActiveTransfer> m_active_transfers;
  std::map<curl_socket_t, std::shared_ptr<PolledSocket>> m_polled_sockets;
  bool m_is_closing = false;
  bool m_is_check_scheduled = false;
  std::thread m_thread;
};

Client::Client(int connections_per_server)
    : m_implementation(
          std::make_unique<Implementation>(connections_per_server)) {}

Client::~Client() = default;

void Client::Send(const std::string& url, Request request,
                  const TransferOptions& options, OnTransferEnd on_done) {
  m_implementation->Send(url, std::move(request), options, std::move(on_done));
}

}  // namespace shallotwick::http
