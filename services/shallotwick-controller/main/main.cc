#include "../controller.h"
#include "base/program.h"
#include "base/stop_signal.h"

int main(int argc, char** argv) {
  namespace base = shallotwick::base;
  namespace controller = shallotwick::controller;
  base::BlockStopSignals();
  const base::ProgramDescription program{
      "shallotwick-controller",
      "Keeps pools at their promise and takes hosts through maintenance.",
      controller::GetSettings()};
  return base::RunProgram(program, argc, argv,
                          [](const base::Settings& settings) {
                            controller::Controller process(settings);
                            base::WaitForStopSignal();
                            process.Stop();
                            return base::kExitSuccess;
                          });
}
