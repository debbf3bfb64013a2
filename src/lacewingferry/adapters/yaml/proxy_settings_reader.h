#ifndef LACEWINGFERRY_ADAPTERS_YAML_PROXY_SETTINGS_READER_H_
#define LACEWINGFERRY_ADAPTERS_YAML_PROXY_SETTINGS_READER_H_

// Defines ReadProxySettings, which reads a proxy's settings file.

#include <string>

#include "lacewingferry/core/settings.h"

namespace lacewingferry {

/** Reads the settings of a proxy from a YAML file whose keys are the members
 * of ProxySettings. Throws FindingsError with every mistake and its place. */
ProxySettings ReadProxySettings(const std::string& path);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_YAML_PROXY_SETTINGS_READER_H_
