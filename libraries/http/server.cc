#include "http/server.h"

#include <future>
#include <restinio/all.hpp>
#include <utility>

namespace shallotwick::http {
namespace {

constexpr size_t kMaxTargetBytes = size_t{8} * 1024;
constexpr size_t kMaxHeaderNameBytes = 256;
constexpr size_t kMaxHeaderValueBytes = size_t{8} * 1024;
constexpr size_t kMaxHeaders = 100;
// A request body over the limit, but within this multiple of it, is read and
// rejected with a response. For a larger one, the connection is closed.
constexpr uint64_t kBodyHardLimitFactor = 4;

// Prevents response splitting: RESTinio does not validate header strings, and
// line breaks in a header would allow one response to be parsed as two.
std::string RemoveLineBreaks(std::string text) {
  std::erase_if(text, [](char character) {
    return character == '\r' || character == '\n';
  });
  return text;
}

bool IsSetByServer(std::string_view name) {
  return IsSameHeaderName(name, "Content-Length") ||
         IsSameHeaderName(name, "Connection") ||
         IsSameHeaderName(name, "Transfer-Encoding") ||
         IsSameHeaderName(name, "Keep-Alive");
}

Request ReadRequest(const restinio::request_handle_t& handle) {
  Request request;
  request.method = handle->header().method().c_str();
  request.target = handle->header().request_target();
  handle->header().for_each_field([&request](const auto& field) {
    request.headers.emplace_back(field.name(), field.value());
  });
  request.body = handle->body();
  return request;
}

}  // namespace

class Server::Implementation {
 public:
  Implementation(const ServerOptions& options, Handler handler)
      : m_options(options),
        m_handler(std::move(handler)),
        m_shared_state(std::make_shared<SharedState>()) {
    std::promise<uint16_t> bound_port;
    m_shared_state->server = std::make_unique<RestinioServer>(
        restinio::own_io_context(), MakeSettings(&bound_port));
    m_runner = std::make_unique<Runner>(static_cast<size_t>(options.threads),
                                        *m_shared_state->server);
    std::promise<void> started;
    m_runner->start([&started]() noexcept { started.set_value(); },
                    [&started](std::exception_ptr error) noexcept {
                      started.set_exception(std::move(error));
                    });
    started.get_future().get();
    m_port = bound_port.get_future().get();
  }

  ~Implementation() { Stop(); }

  uint16_t GetPort() const { return m_port; }
  int64_t GetUnansweredCount() const {
    return m_shared_state->pending_requests.load();
  }
  void CloseConnectionsAfterAnswers() {
    m_shared_state->close_after_response.store(true);
  }

  void Stop() {
    if (!m_runner) {
      return;
    }
    m_runner->stop();
    m_runner->wait();
    m_runner.reset();
  }

 private:
  struct Traits : public restinio::default_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(
        restinio::request_handle_t)>;
  };
  using RestinioServer = restinio::http_server_t<Traits>;
  using Runner = restinio::on_pool_runner_t<RestinioServer>;

  // State that is shared with pending responses. A response may be sent after
  // the server was stopped, and its connection belongs to the server's I/O
  // context, so pending responses keep the context alive.
  struct SharedState {
    std::unique_ptr<RestinioServer> server;
    std::atomic<int64_t> pending_requests{0};
    std::atomic<bool> close_after_response{false};
  };

  // Sends the response to one request. Only the first call to Send() has an
  // effect.
  class PendingResponse {
   public:
    PendingResponse(std::shared_ptr<SharedState> shared_state,
                    restinio::request_handle_t handle)
        : m_shared_state(std::move(shared_state)), m_handle(std::move(handle)) {
      m_shared_state->pending_requests.fetch_add(1);
    }
    ~PendingResponse() {
      if (!m_sent.load()) {
        m_shared_state->pending_requests.fetch_sub(1);
      }
    }
    PendingResponse(const PendingResponse&) = delete;
    PendingResponse& operator=(const PendingResponse&) = delete;

    void Send(const Response& response) {
      if (m_sent.exchange(true)) {
        return;
      }
      auto builder = MakeResponse(m_handle, response,
                                  m_shared_state->close_after_response.load());
      // RESTinio writes a response at once if it is sent within the request
      // handler. It then waits for the next request twice, and the second time
      // it drops what it has read of that request meanwhile.
      asio::post(m_shared_state->server->io_context(),
                 [builder = std::move(builder)]() mutable { builder.done(); });
      m_shared_state->pending_requests.fetch_sub(1);
    }

   private:
    std::shared_ptr<SharedState> m_shared_state;
    restinio::request_handle_t m_handle;
    std::atomic<bool> m_sent{false};
  };

  restinio::server_settings_t<Traits> MakeSettings(
      std::promise<uint16_t>* bound_port) {
    restinio::server_settings_t<Traits> settings;
    restinio::incoming_http_msg_limits_t limits;
    limits.max_url_size(kMaxTargetBytes)
        .max_field_name_size(kMaxHeaderNameBytes)
        .max_field_value_size(kMaxHeaderValueBytes)
        .max_field_count(kMaxHeaders)
        .max_body_size(m_options.largest_body_bytes * kBodyHardLimitFactor);
    settings.address(m_options.listen.host)
        .port(m_options.listen.port)
        .incoming_http_msg_limits(limits)
        .read_next_http_message_timelimit(m_options.keep_alive_timeout)
        .write_http_response_timelimit(m_options.handling_timeout)
        .handle_request_timeout(m_options.handling_timeout)
        .separate_accept_and_create_connect(true)
        .acceptor_options_setter([](auto& options) {
          options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .socket_options_setter([](auto& options) {
          options.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook(
            [bound_port](asio::ip::tcp::acceptor& acceptor) {
              bound_port->set_value(acceptor.local_endpoint().port());
            })
        .request_handler([this](restinio::request_handle_t handle) {
          return HandleRequest(std::move(handle));
        });
    return settings;
  }

  restinio::request_handling_status_t HandleRequest(
      restinio::request_handle_t handle) {
    Request request = ReadRequest(handle);
    auto pending =
        std::make_shared<PendingResponse>(m_shared_state, std::move(handle));
    if (request.body.size() > m_options.largest_body_bytes) {
      pending->Send(MakeProblem(
          413, "body-too-large",
          "The body has " + std::to_string(request.body.size()) +
              " bytes; at most " +
              std::to_string(m_options.largest_body_bytes) + " are taken."));
      return restinio::request_accepted();
    }
    try {
      m_handler(std::move(request), [pending](const Response& response) {
        pending->Send(response);
      });
    } catch (const std::exception& error) {
      pending->Send(MakeProblem(500, "internal-error", error.what()));
    }
    return restinio::request_accepted();
  }

  static restinio::response_builder_t<restinio::restinio_controlled_output_t>
  MakeResponse(const restinio::request_handle_t& handle,
               const Response& response, bool close) {
    auto builder = handle->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<uint16_t>(response.status)),
        ""));
    for (const auto& [name, value] : response.headers) {
      if (!IsSetByServer(name)) {
        builder.append_header(RemoveLineBreaks(name), RemoveLineBreaks(value));
      }
    }
    if (close) {
      builder.connection_close();
    }
    if (handle->header().method() != restinio::http_method_head()) {
      builder.set_body(response.body);
    }
    return builder;
  }

  ServerOptions m_options;
  Handler m_handler;
  uint16_t m_port = 0;
  std::shared_ptr<SharedState> m_shared_state;
  std::unique_ptr<Runner> m_runner;
};

Server::Server(const ServerOptions& options, Handler handler)
    : m_implementation(
          std::make_unique<Implementation>(options, std::move(handler))) {}

Server::~Server() = default;

uint16_t Server::GetPort() const { return m_implementation->GetPort(); }

int64_t Server::GetUnansweredCount() const {
  return m_implementation->GetUnansweredCount();
}

void Server::CloseConnectionsAfterAnswers() {
  m_implementation->CloseConnectionsAfterAnswers();
}

void Server::Stop() { m_implementation->Stop(); }

}  // namespace shallotwick::http
