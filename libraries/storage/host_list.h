#pragma once

#include <compare>
#include <string>
#include <vector>

#include "storage/table_service.h"

namespace shallotwick::storage {

enum class ListedStatus { kLive, kLeaving, kDead };

// One entry of the platform's host list. The list may be out of date.
struct ListedHost {
  std::string name;
  // IP address and port of the host's executor.
  std::string address;
  std::string data_centre;
  std::string rack;
  int processors = 0;
  int memory_gigabytes = 0;
  int accelerators = 0;
  ListedStatus status = ListedStatus::kLive;
  // Changes with every boot of the host.
  std::string boot_id;

  auto operator<=>(const ListedHost&) const = default;
};

class HostList {
 public:
  virtual ~HostList() = default;

  // Throws Unavailable.
  virtual std::vector<ListedHost> List() = 0;
};

// Restarts hosts.
class HostControl {
 public:
  virtual ~HostControl() = default;

  // Reboots the host if its current boot id is `boot_id`, so that a repeated
  // request does not reboot the host again. Throws Unavailable.
  virtual void Reboot(const std::string& host, const std::string& boot_id) = 0;
};

}  // namespace shallotwick::storage
