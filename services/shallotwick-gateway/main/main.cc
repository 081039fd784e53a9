#include "../gateway.h"
#include "base/program.h"
#include "base/stop_signal.h"

int main(int argc, char** argv) {
  namespace base = shallotwick::base;
  namespace gateway = shallotwick::gateway;
  base::BlockStopSignals();
  const base::ProgramDescription program{
      "shallotwick-gateway",
      "Accepts callers' requests and routes them to the targets of their "
      "service.",
      gateway::GetSettings()};
  return base::RunProgram(program, argc, argv,
                          [](const base::Settings& settings) {
                            gateway::Gateway process(settings);
                            base::WaitForStopSignal();
                            process.Stop();
                            return base::kExitSuccess;
                          });
}
