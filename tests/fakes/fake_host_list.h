#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "storage/host_list.h"
#include "storage/object_store.h"

namespace shallotwick::fakes {

// A host list and host control in memory. A host that is rebooted is listed as
// dead until FinishReboot(). Safe to use from several threads.
class FakeHostList : public storage::HostList, public storage::HostControl {
 public:
  std::vector<storage::ListedHost> List() override;
  void Reboot(const std::string& host, const std::string& boot_id) override;

  void Put(const storage::ListedHost& host);
  void Remove(const std::string& host);
  void SetStatus(const std::string& host, storage::ListedStatus status);
  void FinishReboot(const std::string& host);
  // Called with the host's name when a reboot begins.
  void SetOnReboot(std::function<void(const std::string&)> on_reboot);

 private:
  std::mutex m_mutex;
  std::map<std::string, storage::ListedHost> m_hosts;
  std::function<void(const std::string&)> m_on_reboot;
};

// An object store in memory.
class FakeObjectStore : public storage::ObjectStore {
 public:
  void Put(const std::string& key, const std::string& value) override;
  std::optional<std::string> Get(const std::string& key) override;

 private:
  std::mutex m_mutex;
  std::map<std::string, std::string> m_objects;
};

}  // namespace shallotwick::fakes
