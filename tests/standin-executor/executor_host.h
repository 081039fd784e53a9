#pragma once

#include <asio.hpp>
#include <memory>
#include <set>
#include <string>

#include "executor_record.h"

namespace shallotwick::standin {

class ExecutorConnection;

// How a host's answers go wrong.
enum class ExecutorFault {
  kNone,
  // Fewer bytes than the Content-Length says, then closed.
  kShortBody,
  // A chunked body that breaks off.
  kBrokenChunks,
  // Runs the request, then closes without an answer.
  kCloseAfterRun,
  // Closes a connection when its second request has been read whole.
  kCloseOnSecond,
};

// One target host with its executor. All hosts live on one thread.
class ExecutorHost {
 public:
  ExecutorHost(asio::io_context& context, std::string name,
               const asio::ip::tcp::endpoint& endpoint, int slots,
               ExecutorRecord& record);

  // Listens; where the endpoint's port is 0, on a free one that is kept.
  void Start();
  // Cuts off all that runs, as a reboot does.
  void Reboot();

  // Connections that are open now answer nothing any more; new ones work.
  void SilenceOpenConnections();
  void SetFault(ExecutorFault fault) { m_fault = fault; }
  ExecutorFault GetFault() const { return m_fault; }
  // Refuses all new requests as a host that leaves does.
  void SetLeaving(bool leaving) { m_leaving = leaving; }
  bool IsLeaving() const { return m_leaving; }

  bool TryStart(const std::string& request);
  void End(const std::string& request);

  const std::string& GetName() const { return m_name; }
  uint16_t GetPort() const { return m_endpoint.port(); }
  int GetRunning() const { return m_running; }
  ExecutorRecord& GetRecord() { return m_record; }
  asio::io_context& GetContext() { return m_context; }
  void Forget(const std::shared_ptr<ExecutorConnection>& connection);

 private:
  void Accept();

  asio::io_context& m_context;
  std::string m_name;
  asio::ip::tcp::endpoint m_endpoint;
  asio::ip::tcp::acceptor m_acceptor;
  int m_slots;
  ExecutorRecord& m_record;
  std::set<std::shared_ptr<ExecutorConnection>> m_connections;
  ExecutorFault m_fault = ExecutorFault::kNone;
  bool m_leaving = false;
  int m_running = 0;
};

}  // namespace shallotwick::standin
