#include "../controller.h"
#include "base/program.h"
#include "base/stop_signal.h"

int main(int argc, char** argv) {
  namespace base = shallotwick::base;
  namespace controller = shallotwick::controller;
  base::BlockStopSignals();
  const base::ProgramDescription program{
      "shallotwick-controller",
      "Maintains the promised capacity of pools and moves hosts through "
      "maintenance.",
      controller::GetSettings()};
  return base::RunProgram(program, argc, argv,
                          [](const base::Settings& settings) {
                            controller::Controller process(settings);
                            base::WaitForStopSignal();
                            process.Stop();
                            return base::kExitSuccess;
                          });
}
