#ifndef STANDIN_PLATFORM_PLATFORM_CALLER_H_
#define STANDIN_PLATFORM_PLATFORM_CALLER_H_

// Defines PlatformCaller, a client of the platform that writes items of its
// own, reads them back and notes what it was told.

#include <functional>
#include <memory>
#include <string>

#include "standin/platform/line_client.h"
#include "standin/platform/platform_verdict.h"

namespace lacewingferry::standin {

/** One client. It keeps its session while it can, and opens another one, at
 * the next proxy, when that ends. For one thread. */
class PlatformCaller {
 public:
  /** The hook gives the address of a proxy; each call may name another. */
  PlatformCaller(std::string name, std::function<Endpoint()> next_proxy);

  /** Writes an item and reads it back in the same session. */
  void Step();

  const PlatformRecord& Record() const { return this->record; }

 private:
  bool OpenSession();
  StoreFate Store(const std::string& item);
  void ReadBack(const std::string& item);

  std::string name;
  std::function<Endpoint()> next_proxy;
  std::unique_ptr<LineClient> session;
  PlatformRecord record;
  std::uint64_t steps = 0;
};

}  // namespace lacewingferry::standin

#endif  // STANDIN_PLATFORM_PLATFORM_CALLER_H_
