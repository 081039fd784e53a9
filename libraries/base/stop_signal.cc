#include "base/stop_signal.h"

#include <csignal>

namespace shallotwick::base {
namespace {

sigset_t MakeStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = MakeStopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer has closed then fails with an error
  // instead of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = MakeStopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace shallotwick::base
