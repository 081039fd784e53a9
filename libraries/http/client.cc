#include "http/client.h"

#include <curl/curl.h>

#include <asio.hpp>
#include <map>
#include <thread>
#include <utility>

#include "http/easy_transfer.h"

namespace shallotwick::http {
namespace {

// Idle connections kept for all hosts together.
constexpr long kIdleConnections = 2'000;
// libcurl looks at its own timeouts at least this often; the bound on the first
// byte is checked then.
constexpr auto kCheckPeriod = std::chrono::milliseconds(50);

}  // namespace

class Client::Implementation {
 public:
  explicit Implementation(int connections_per_host)
      : m_work(asio::make_work_guard(m_context)),
        m_timer(m_context),
        m_check_timer(m_context),
        m_multi(curl_multi_init()) {
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(connections_per_host));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~Implementation() {
    asio::post(m_context, [this] { Close(); });
    m_thread.join();
    curl_multi_cleanup(m_multi);
  }

  void Send(const std::string& url, Request request,
            const TransferOptions& options, OnTransferEnd on_end) {
    asio::post(m_context, [this, url, request = std::move(request), options,
                           on_end = std::move(on_end)]() mutable {
      Start(url, std::move(request), options, std::move(on_end));
    });
  }

 private:
  struct Running {
    std::unique_ptr<EasyTransfer> transfer;
    OnTransferEnd on_end;
  };

  // A socket of libcurl's, watched through Asio. Asio does not own it.
  struct Watched {
    Watched(asio::io_context& context, curl_socket_t socket)
        : descriptor(context, socket) {}
    asio::posix::stream_descriptor descriptor;
    int wanted = CURL_POLL_NONE;
    bool reading = false;
    bool writing = false;
  };

  void Start(const std::string& url, Request request,
             const TransferOptions& options, OnTransferEnd on_end) {
    auto transfer =
        std::make_unique<EasyTransfer>(url, std::move(request), options);
    CURL* handle = transfer->GetHandle();
    m_running[handle] = Running{std::move(transfer), std::move(on_end)};
    curl_multi_add_handle(m_multi, handle);
    StartChecks();
  }

  void Close() {
    m_closing = true;
    m_timer.cancel();
    m_check_timer.cancel();
    for (auto& [handle, running] : m_running) {
      curl_multi_remove_handle(m_multi, handle);
    }
    auto ended = std::move(m_running);
    m_running.clear();
    for (auto& [handle, running] : ended) {
      TransferResult result =
          running.transfer->TakeResult(CURLE_ABORTED_BY_CALLBACK);
      running.on_end(std::move(result));
    }
    for (auto& [socket, watched] : m_watched) {
      watched->descriptor.release();
    }
    m_watched.clear();
    m_work.reset();
    m_context.stop();
  }

  static int OnSocketChange(CURL* /*handle*/, curl_socket_t socket, int wanted,
                            void* self, void* /*socket_data*/) {
    static_cast<Implementation*>(self)->WatchSocket(socket, wanted);
    return 0;
  }

  static int OnTimerChange(CURLM* /*multi*/, long milliseconds, void* self) {
    static_cast<Implementation*>(self)->SetTimer(milliseconds);
    return 0;
  }

  void WatchSocket(curl_socket_t socket, int wanted) {
    if (m_closing) {
      return;
    }
    if (wanted == CURL_POLL_REMOVE) {
      const auto found = m_watched.find(socket);
      if (found != m_watched.end()) {
        found->second->descriptor.release();
        m_watched.erase(found);
      }
      return;
    }
    auto& watched = m_watched[socket];
    if (!watched) {
      watched = std::make_shared<Watched>(m_context, socket);
    }
    watched->wanted = wanted;
    WaitForSocket(socket, watched);
  }

  void WaitForSocket(curl_socket_t socket,
                     const std::shared_ptr<Watched>& watched) {
    using Descriptor = asio::posix::stream_descriptor;
    if ((watched->wanted & CURL_POLL_IN) != 0 && !watched->reading) {
      watched->reading = true;
      watched->descriptor.async_wait(
          Descriptor::wait_read,
          [this, socket, watched](const std::error_code& error) {
            watched->reading = false;
            OnSocketReady(socket, watched, CURL_CSELECT_IN, error);
          });
    }
    if ((watched->wanted & CURL_POLL_OUT) != 0 && !watched->writing) {
      watched->writing = true;
      watched->descriptor.async_wait(
          Descriptor::wait_write,
          [this, socket, watched](const std::error_code& error) {
            watched->writing = false;
            OnSocketReady(socket, watched, CURL_CSELECT_OUT, error);
          });
    }
  }

  void OnSocketReady(curl_socket_t socket,
                     const std::shared_ptr<Watched>& watched, int ready,
                     const std::error_code& error) {
    if (m_closing || error == asio::error::operation_aborted) {
      return;
    }
    int running = 0;
    curl_multi_socket_action(m_multi, socket, error ? CURL_CSELECT_ERR : ready,
                             &running);
    FinishEnded();
    const auto found = m_watched.find(socket);
    if (found != m_watched.end() && found->second == watched) {
      WaitForSocket(socket, watched);
    }
  }

  void SetTimer(long milliseconds) {
    m_timer.cancel();
    if (milliseconds < 0 || m_closing) {
      return;
    }
    m_timer.expires_after(std::chrono::milliseconds(milliseconds));
    m_timer.async_wait([this](const std::error_code& error) {
      if (!error) {
        ActOnTimeout();
      }
    });
  }

  // libcurl calls the progress function only when it acts on a handle; while
  // nothing comes, this makes it act.
  void StartChecks() {
    if (m_checking || m_closing) {
      return;
    }
    m_checking = true;
    m_check_timer.expires_after(kCheckPeriod);
    m_check_timer.async_wait([this](const std::error_code& error) {
      m_checking = false;
      if (error || m_closing) {
        return;
      }
      CheckFirstBytes();
      if (!m_running.empty()) {
        StartChecks();
      }
    });
  }

  void CheckFirstBytes() {
    std::vector<CURL*> late;
    for (const auto& [handle, running] : m_running) {
      if (running.transfer->IsFirstByteLate()) {
        late.push_back(handle);
      }
    }
    for (CURL* handle : late) {
      Finish(handle, CURLE_OPERATION_TIMEDOUT);
    }
  }

  void ActOnTimeout() {
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    FinishEnded();
  }

  void FinishEnded() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Finish(message->easy_handle, message->data.result);
      }
    }
  }

  void Finish(CURL* handle, CURLcode code) {
    const auto found = m_running.find(handle);
    if (found == m_running.end()) {
      return;
    }
    Running running = std::move(found->second);
    m_running.erase(found);
    // A handle that is removed before its end has its connection closed.
    curl_multi_remove_handle(m_multi, handle);
    TransferResult result = running.transfer->TakeResult(code);
    running.transfer.reset();
    running.on_end(std::move(result));
  }

  asio::io_context m_context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  asio::steady_timer m_timer;
  asio::steady_timer m_check_timer;
  CURLM* m_multi;
  std::map<CURL*, Running> m_running;
  std::map<curl_socket_t, std::shared_ptr<Watched>> m_watched;
  bool m_closing = false;
  bool m_checking = false;
  std::thread m_thread;
};

Client::Client(int connections_per_host)
    : m_implementation(std::make_unique<Implementation>(connections_per_host)) {
}

Client::~Client() = default;

void Client::Send(const std::string& url, Request request,
                  const TransferOptions& options, OnTransferEnd on_end) {
  m_implementation->Send(url, std::move(request), options, std::move(on_end));
}

}  // namespace shallotwick::http
