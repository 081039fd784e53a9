#include "fakes/fake_host_list.h"

#include <utility>

namespace shallotwick::fakes {

std::vector<storage::ListedHost> FakeHostList::List() {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<storage::ListedHost> hosts;
  for (const auto& [name, host] : m_hosts) {
    hosts.push_back(host);
  }
  return hosts;
}

void FakeHostList::Reboot(const std::string& host, const std::string& boot_id) {
  std::function<void(const std::string&)> on_reboot;
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || found->second.boot_id != boot_id ||
        found->second.status == storage::ListedStatus::kDead) {
      return;
    }
    found->second.status = storage::ListedStatus::kDead;
    on_reboot = m_on_reboot;
  }
  if (on_reboot) {
    on_reboot(host);
  }
}

void FakeHostList::Put(const storage::ListedHost& host) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_hosts[host.name] = host;
}

void FakeHostList::Remove(const std::string& host) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_hosts.erase(host);
}

void FakeHostList::SetStatus(const std::string& host,
                             storage::ListedStatus status) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_hosts.at(host).status = status;
}

void FakeHostList::FinishReboot(const std::string& host) {
  std::lock_guard<std::mutex> lock(m_mutex);
  storage::ListedHost& listed = m_hosts.at(host);
  listed.status = storage::ListedStatus::kLive;
  listed.boot_id += "+";
}

void FakeHostList::SetOnReboot(
    std::function<void(const std::string&)> on_reboot) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_on_reboot = std::move(on_reboot);
}

void FakeObjectStore::Put(const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_objects[key] = value;
}

std::optional<std::string> FakeObjectStore::Get(const std::string& key) {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_objects.find(key);
  return found == m_objects.end() ? std::nullopt
                                  : std::optional<std::string>(found->second);
}

}  // namespace shallotwick::fakes
