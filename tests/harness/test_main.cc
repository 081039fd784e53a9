#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include "base/log.h"

// The leak detector reports statics of rapidcheck as leaks; the address
// sanitizer's run finds real ones.
int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  shallotwick::base::OpenLog("test", shallotwick::base::LogFormat::kText,
                             shallotwick::base::Severity::kError);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
