#include "base/event_loop.h"

#include <exception>

#include "base/log.h"
#include "base/log_catalogue.h"

namespace shallotwick::base {

void EventLoop::Run() {
  const auto work = asio::make_work_guard(m_context);
  while (!m_context.stopped()) {
    try {
      m_context.run();
    } catch (const std::exception& error) {
      // A fault in the handling of one message must not end the loop, which all
      // other handlers of the process depend on.
      Log(events::kHandlerFailed, {{"fault", error.what()}});
    }
  }
}

void EventLoop::Stop() { m_context.stop(); }

void EventLoop::Post(std::function<void()> task) {
  asio::post(m_context, std::move(task));
}

void EventLoop::RunAfter(Duration delay, std::function<void()> task) {
  using Timer = asio::basic_waitable_timer<RuntimeClock>;
  auto timer = std::make_shared<Timer>(m_context, delay);
  timer->async_wait(
      [timer, task = std::move(task)](const std::error_code& error) {
        if (!error) {
          task();
        }
      });
}

}  // namespace shallotwick::base
