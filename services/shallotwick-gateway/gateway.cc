#include "gateway.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/log_catalogue.h"
#include "base/program.h"
#include "base/random_identifier.h"
#include "control/message_codec.h"
#include "control/messages.h"
#include "records/keys.h"

namespace shallotwick::gateway {
namespace {

constexpr auto kDispatcherPeriod = std::chrono::milliseconds(20);
constexpr auto kInFlightCheckPeriod = std::chrono::milliseconds(10);
constexpr int kMaxThreads = 64;
constexpr int kMaxConnections = 10'000;
constexpr int kMaxMilliseconds = 600'000;

std::string ReplacePort(const std::string& address, uint16_t port) {
  base::Endpoint endpoint = base::ParseEndpoint(address);
  endpoint.port = port;
  return base::FormatEndpoint(endpoint);
}

link::Reply RefuseMalformed(const link::Call& call) {
  base::Log(base::events::kMalformedFrame, {{"path", call.path}});
  return link::Reply{link::ReplyStatus::kRefused, {}};
}

http::ServerOptions MakeServerOptions(const base::Settings& settings) {
  http::ServerOptions options;
  options.listen = base::ParseEndpoint(settings.GetString("listen"));
  options.threads = static_cast<int>(settings.GetInteger("threads"));
  return options;
}

}  // namespace

std::vector<base::SettingDeclaration> GetSettings() {
  std::vector<base::SettingDeclaration> settings = {
      {"name", "NAME", "name of this gateway, different from all others",
       std::nullopt, base::CheckNotEmpty},
      {"listen", "IP:PORT", "address for callers; port 0 takes a free one",
       "127.0.0.1:0", base::CheckAddress},
      {"link-listen", "IP:PORT", "address for our other processes",
       "127.0.0.1:0", base::CheckAddress},
      {"platform", "IP:PORT", "address of the platform's services",
       std::nullopt, base::CheckAddress},
      {"data-centre", "NAME", "data centre of this host", std::nullopt,
       base::CheckNotEmpty},
      {"peers", "IP:PORT,...",
       "link addresses to ask for a view while none is held", "",
       base::CheckAddressList},
      {"threads", "COUNT", "threads that take callers' requests", "2",
       base::CheckInteger(1, kMaxThreads)},
      {"target-threads", "COUNT", "threads that talk to targets", "2",
       base::CheckInteger(1, kMaxThreads)},
      {"connections-per-target", "COUNT",
       "connections to one target at the most; the targets' limit divided by "
       "the number of gateways",
       "7", base::CheckInteger(1, kMaxConnections)},
      {"platform-timeout-ms", "MILLISECONDS",
       "wait for an answer of the platform", "1000",
       base::CheckInteger(1, kMaxMilliseconds)},
      {"claim-timeout-ms", "MILLISECONDS",
       "wait for an answer of the table service to a claim", "400",
       base::CheckInteger(1, kMaxMilliseconds)},
      {"stale-limit-ms", "MILLISECONDS",
       "without word that the view is the newest for so long, no new requests "
       "are taken",
       "5000", base::CheckInteger(1, kMaxMilliseconds)},
      {"membership-limit-ms", "MILLISECONDS",
       "without a renewed membership for so long, no new requests are taken; "
       "less than the controllers' member-lapse-ms by the longest deadline",
       "20000", base::CheckInteger(1, kMaxMilliseconds)},
      {"stop-delay-ms", "MILLISECONDS",
       "time between turning unready and refusing new requests, for the "
       "balancer to notice",
       "1000", base::CheckInteger(0, kMaxMilliseconds)},
      {"stop-limit-ms", "MILLISECONDS",
       "wait for requests in flight when asked to stop", "30000",
       base::CheckInteger(0, kMaxMilliseconds)},
  };
  const auto log_settings = base::GetLogSettings();
  settings.insert(settings.end(), log_settings.begin(), log_settings.end());
  return settings;
}

Gateway::Gateway(const base::Settings& settings)
    : m_name(settings.GetString("name")),
      m_incarnation(base::MakeRandomIdentifier()),
      m_data_centre(settings.GetString("data-centre")),
      m_membership_limit(settings.GetInteger("membership-limit-ms")),
      m_stop_limit(settings.GetInteger("stop-limit-ms")),
      m_stop_delay(settings.GetInteger("stop-delay-ms")),
      m_platform(settings.GetString("platform"),
                 std::chrono::milliseconds(
                     settings.GetInteger("platform-timeout-ms"))),
      m_claim_platform(
          settings.GetString("platform"),
          std::chrono::milliseconds(settings.GetInteger("claim-timeout-ms"))),
      m_store_reachability(settings.GetString("platform")),
      m_dispatcher(m_name, routing::DispatcherLimits{}),
      m_views(
          m_name, m_dispatcher,
          routing::ConfirmationLimits{
              std::chrono::milliseconds(settings.GetInteger("stale-limit-ms")),
              m_membership_limit}) {
  m_metrics.GetRegistry().SetGauge("shallotwick_link_bytes", [] {
    return static_cast<double>(link::GetLinkBytes());
  });
  m_metrics.GetRegistry().SetGauge("shallotwick_platform_bytes", [this] {
    return static_cast<double>(m_platform.GetTransferredBytes() +
                               m_claim_platform.GetTransferredBytes());
  });
  m_claims = std::make_unique<ClaimStore>(m_claim_platform, m_claim_platform,
                                          ClaimStoreOptions{});
  for (int64_t count = 0; count < settings.GetInteger("target-threads");
       ++count) {
    m_clients.push_back(std::make_unique<http::Client>(
        static_cast<int>(settings.GetInteger("connections-per-target"))));
  }
  m_links = std::make_unique<control::LinkThread>(m_incarnation);
  const std::string link_listen = settings.GetString("link-listen");
  const uint16_t link_port = m_links->Listen(
      base::ParseEndpoint(link_listen),
      [this](const link::Call& call, const link::OnReply& on_reply) {
        HandleCall(call, on_reply);
      });
  m_link_address = ReplacePort(link_listen, link_port);
  m_server = std::make_unique<http::Server>(
      MakeServerOptions(settings),
      [this](http::Request request, http::Respond respond) {
        HandleRequest(std::move(request), std::move(respond));
      });
  m_http_address =
      ReplacePort(settings.GetString("listen"), m_server->GetPort());
  base::Log(base::events::kStarted, {{"name", m_name},
                                     {"http", m_http_address},
                                     {"link", m_link_address},
                                     {"incarnation", m_incarnation}});
  m_membership = std::make_unique<Membership>(
      m_platform, m_store_reachability, m_views, *m_links,
      [this] { return DescribeMember(); },
      MakeMembershipOptions(m_membership_limit));
  GossipOptions gossip;
  gossip.bootstrap_peers = settings.GetList("peers");
  m_gossip = std::make_unique<PeerGossip>(m_name, *m_links, m_views, gossip);
  m_lending =
      std::make_unique<SlotLending>(SlotLender{m_name, m_incarnation}, *m_links,
                                    m_dispatcher, SlotLendingOptions{});
  m_accepts_calls.store(true);
  m_dispatcher_task = std::make_unique<base::PeriodicTask>([this] {
    m_dispatcher.Advance(base::RuntimeClock::now());
    const bool is_ready = IsReady();
    if (m_was_ready.exchange(is_ready) != is_ready) {
      base::Log(is_ready ? base::events::kReady : base::events::kNotReady,
                {{"view_version", std::to_string(m_views.GetVersion())}});
    }
    return base::Duration(kDispatcherPeriod);
  });
}

Gateway::~Gateway() = default;

bool Gateway::IsReady() const {
  return !m_stopping.load() && m_views.IsReady(base::RuntimeClock::now());
}

void Gateway::Stop() {
  base::Log(base::events::kStopping, {{"name", m_name}});
  m_stopping.store(true);
  // Requests still arrive, and are served, until the load balancer notices that
  // the gateway is not ready.
  std::this_thread::sleep_for(m_stop_delay);
  m_server->CloseConnectionsAfterAnswers();
  m_refuses_new.store(true);
  WaitForRequestsInFlight();
  m_dispatcher.Stop();
  m_claims->Drain(m_stop_limit);
  m_dispatcher_task->Stop();
  m_gossip->Stop();
  m_lending->Stop();
  m_membership->Leave();
  m_links->Stop();
  m_server->Stop();
  base::Log(base::events::kStopped, {{"name", m_name}});
}

void Gateway::WaitForRequestsInFlight() {
  const base::TimePoint limit = base::RuntimeClock::now() + m_stop_limit;
  while (m_server->GetUnansweredCount() > 0 &&
         base::RuntimeClock::now() < limit) {
    std::this_thread::sleep_for(kInFlightCheckPeriod);
  }
}

records::MemberRecord Gateway::DescribeMember() const {
  const routing::RoutingView view = m_views.GetView();
  records::MemberRecord member;
  member.gateway = m_name;
  member.incarnation = m_incarnation;
  member.link_address = m_link_address;
  member.http_address = m_http_address;
  member.data_centre = m_data_centre;
  member.view_version = view.version;
  member.document_version = view.document_version;
  member.ready = IsReady();
  member.limit_milliseconds = static_cast<uint64_t>(m_membership_limit.count());
  return member;
}

void Gateway::HandleRequest(http::Request request, http::Respond respond) {
  if (HandleGatewayPath(request, respond)) {
    return;
  }
  const RequestContext context{m_name,    m_dispatcher, m_views,
                               *m_claims, m_metrics,    m_retry_budget,
                               m_clients, m_refuses_new};
  RequestFlow::Start(context, std::move(request), std::move(respond));
}

bool Gateway::HandleGatewayPath(const http::Request& request,
                                const http::Respond& respond) {
  const std::string path = http::GetPath(request.target);
  if (path == "/healthz") {
    respond(http::MakeJsonResponse(200, R"({"status":"ok"})"));
    return true;
  }
  if (path == "/readyz") {
    const bool is_ready = IsReady();
    const nlohmann::json body = {{"ready", is_ready},
                                 {"view_version", m_views.GetVersion()}};
    respond(http::MakeJsonResponse(is_ready ? 200 : 503, body.dump()));
    return true;
  }
  if (path == "/metrics") {
    respond(http::Response{200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           m_metrics.GetRegistry().FormatExposition()});
    return true;
  }
  if (path.rfind("/v1/outcomes/", 0) == 0) {
    HandleOutcomeQuery(request, respond);
    return true;
  }
  return false;
}

// Handles GET /v1/outcomes/SERVICE/KEY, which returns the outcome of a request.
void Gateway::HandleOutcomeQuery(const http::Request& request,
                                 http::Respond respond) {
  const std::vector<std::string> path =
      http::SplitPath(http::GetPath(request.target));
  constexpr size_t kSegments = 4;
  if (path.size() != kSegments || request.method != "GET") {
    respond(http::MakeProblem(400, "bad-request",
                              "Expected GET /v1/outcomes/SERVICE/KEY."));
    return;
  }
  const std::string team =
      http::FindHeader(request.headers, kTeamHeader).value_or("anonymous");
  m_claims->Read(
      records::ClaimKey(path[2], team, path[3]),
      [respond = std::move(respond)](
          const std::optional<records::ClaimRecord>& record, bool available) {
        if (!available) {
          respond(http::MakeProblem(503, "claim-store-unavailable",
                                    "The table service did not respond."));
          return;
        }
        if (!record) {
          respond(http::MakeJsonResponse(200, R"({"state":"not-run"})"));
          return;
        }
        const nlohmann::json body = {{"state", records::NameOf(record->state)},
                                     {"status", record->status},
                                     {"gateway", record->gateway}};
        respond(http::MakeJsonResponse(200, body.dump()));
      });
}

void Gateway::HandleCall(const link::Call& call,
                         const link::OnReply& on_reply) {
  if (call.path == control::kViewPath) {
    on_reply(HandleViewPush(call));
  } else if (call.path == control::kDigestPath) {
    on_reply(link::Reply{link::ReplyStatus::kOk,
                         control::Encode(m_views.MakeDigest())});
  } else if (call.path == control::kFetchViewPath) {
    on_reply(link::Reply{link::ReplyStatus::kOk,
                         control::Encode(m_views.GetView())});
  } else if (call.path == control::kRenewPath && m_accepts_calls.load()) {
    RenewForPeer(call, on_reply);
  } else if (call.path == control::kRequestSlotsPath &&
             m_accepts_calls.load()) {
    on_reply(HandleSlotDemand(call));
  } else if (call.path == control::kAllowSlotsPath && m_accepts_calls.load()) {
    on_reply(HandleSlotAllowances(call));
  } else {
    on_reply(link::Reply{link::ReplyStatus::kRefused, {}});
  }
}

void Gateway::RenewForPeer(const link::Call& call,
                           const link::OnReply& on_reply) {
  const auto member = control::Decode<records::MemberRecord>(call.body);
  if (!member) {
    on_reply(RefuseMalformed(call));
    return;
  }
  m_membership->RenewForPeer({*member, call.is_verified}, on_reply);
}

link::Reply Gateway::HandleSlotDemand(const link::Call& call) {
  const auto wants = control::Decode<control::SlotDemands>(call.body);
  if (!wants) {
    return RefuseMalformed(call);
  }
  m_lending->RecordSlotDemand(*wants);
  return link::Reply{link::ReplyStatus::kOk, {}};
}

link::Reply Gateway::HandleSlotAllowances(const link::Call& call) {
  const auto allowances = control::Decode<control::SlotAllowances>(call.body);
  if (!allowances) {
    return RefuseMalformed(call);
  }
  return link::Reply{link::ReplyStatus::kOk,
                     control::Encode(m_lending->ApplyAllowances(*allowances))};
}

link::Reply Gateway::HandleViewPush(const link::Call& call) {
  const auto push = control::Decode<control::ViewPush>(call.body);
  if (!push) {
    return RefuseMalformed(call);
  }
  // A sender that names neither system nor incarnation may belong to another
  // system. The view is read from the table service instead; until then the
  // acknowledgement has the version of the current one.
  if (call.is_verified) {
    m_views.ApplyPush(*push);
  } else if (!m_reported_unidentified_view.exchange(true)) {
    base::Log(base::events::kViewUnidentified);
  }
  fleet::GatewayAcknowledgement acknowledgement;
  acknowledgement.gateway = m_name;
  acknowledgement.incarnation = m_incarnation;
  // The version is read before the requests are counted. Thus a drain is
  // acknowledged only with a count made after the drain came into force.
  acknowledgement.view_version = m_views.GetVersion();
  acknowledgement.in_flight = m_dispatcher.CountInFlightOnNonServingHosts();
  return link::Reply{link::ReplyStatus::kOk, control::Encode(acknowledgement)};
}

}  // namespace shallotwick::gateway
