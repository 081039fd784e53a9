#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "http/transfer.h"
#include "storage/host_list.h"
#include "storage/object_store.h"
#include "storage/table_service.h"

namespace shallotwick::storage {

// HTTP client of the platform's services. docs/PLATFORM.md describes the
// interface. Calls block. Thread-safe.
class HttpPlatform : public TableService,
                     public ObjectStore,
                     public HostList,
                     public HostControl {
 public:
  // `address` is an IP address and port. A call throws Unavailable if the
  // complete response is not received within `timeout`.
  HttpPlatform(std::string address, std::chrono::milliseconds timeout);

  std::vector<Row> Read(const ReadRequest& request) override;
  CommitResult Commit(const Transaction& transaction) override;
  void Put(const std::string& key, const std::string& value) override;
  std::optional<std::string> Get(const std::string& key) override;
  std::vector<ListedHost> List() override;
  void Reboot(const std::string& host, const std::string& boot_id) override;

  // Returns the total size of the request and response bodies that this client
  // has sent and received.
  uint64_t GetTransferredBytes() const { return m_transferred_bytes.load(); }

 private:
  http::Response Call(const std::string& method, const std::string& path,
                      std::string body);

  std::atomic<uint64_t> m_transferred_bytes{0};
  std::string m_address;
  http::TransferOptions m_options;
};

}  // namespace shallotwick::storage
