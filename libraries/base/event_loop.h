#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "base/runtime_clock.h"

namespace shallotwick::base {

// The one thread on which a process makes its decisions.
class EventLoop {
 public:
  asio::io_context& GetContext() { return m_context; }

  // Runs until Stop. An exception of one task is logged; the others go on.
  void Run();
  void Stop();

  // Both may be called from any thread.
  void Post(std::function<void()> task);
  void RunAfter(Duration delay, std::function<void()> task);

 private:
  asio::io_context m_context{1};
};

// Drops callbacks that come after the end of the object that asked for them.
class Lifetime {
 public:
  template <typename Function>
  auto Guard(Function function) const {
    return [token = std::weak_ptr<int>(m_token),
            function = std::move(function)](auto&&... arguments) mutable {
      if (!token.expired()) {
        function(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<int> m_token = std::make_shared<int>(0);
};

}  // namespace shallotwick::base
