#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

/** Exit status for a suite name that no test file registers. */
constexpr int kUnknownSuite = 2;

CppUnit::Test* FindSuite(CppUnit::Test* all, const std::string& name) {
  for (int i = 0; i < all->getChildTestCount(); ++i) {
    CppUnit::Test* child = all->getChildTestAt(i);
    const std::string full = child->getName();
    const auto colon = full.rfind(':');
    if (full.substr(colon == std::string::npos ? 0 : colon + 1) == name) {
      return child;
    }
  }
  return nullptr;
}

}  // namespace

/** Runs the suite named by the first argument, or every suite without one. */
int main(int argc, char** argv) {
  const std::unique_ptr<CppUnit::Test> all(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CppUnit::Test* test = all.get();
  if (argc > 1) {
    test = FindSuite(test, argv[1]);
    if (test == nullptr) {
      std::cerr << "no suite is named " << argv[1] << "\n";
      return kUnknownSuite;
    }
  }
  CppUnit::TestResult events;
  CppUnit::TestResultCollector collected;
  CppUnit::BriefTestProgressListener progress;
  events.addListener(&collected);
  events.addListener(&progress);
  events.runTest(test);
  CppUnit::CompilerOutputter(&collected, std::cerr).write();
  const bool ran = collected.runTests() > 0;
  return ran && collected.wasSuccessful() ? 0 : 1;
}
