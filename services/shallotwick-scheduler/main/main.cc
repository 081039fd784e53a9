#include "../scheduler_process.h"
#include "../scheduler_settings.h"
#include "base/program.h"

int main(int argc, char** argv) {
  namespace base = shallotwick::base;
  namespace scheduler = shallotwick::scheduler;
  const base::ProgramDescription program{
      "shallotwick-scheduler",
      "Takes callers' jobs and runs the tasks of the pools that it owns.",
      scheduler::GetSettings()};
  return base::RunProgram(program, argc, argv,
                          [](const base::Settings& settings) {
                            scheduler::SchedulerProcess process(settings);
                            process.Run();
                            return base::kExitSuccess;
                          });
}
