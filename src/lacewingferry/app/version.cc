#include "lacewingferry/app/version.h"

namespace lacewingferry {

const char* Version() { return FERRY_VERSION; }

}  // namespace lacewingferry
