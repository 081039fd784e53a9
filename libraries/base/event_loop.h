#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "base/runtime_clock.h"

namespace shallotwick::base {

// The event loop that runs all decisions of a process on a single thread.
class EventLoop {
 public:
  asio::io_context& GetContext() { return m_context; }

  // Runs until Stop(). An exception that leaves a task is logged; the loop goes
  // on with the remaining tasks.
  void Run();
  void Stop();

  // Post and RunAfter are safe to call from any thread.
  void Post(std::function<void()> task);
  void RunAfter(Duration delay, std::function<void()> task);

 private:
  asio::io_context m_context{1};
};

// Wraps callbacks so that they have no effect once the object that owns this
// Lifetime is destroyed.
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

  // The same for a condition, which is then false.
  template <typename Condition>
  auto GuardCondition(Condition condition) const {
    return [token = std::weak_ptr<int>(m_token),
            condition = std::move(condition)](auto&&... arguments) {
      return !token.expired() &&
             condition(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<int> m_token = std::make_shared<int>(0);
};

}  // namespace shallotwick::base
