#ifndef LACEWINGFERRY_ADAPTERS_YAML_FLEET_SETTINGS_READER_H_
#define LACEWINGFERRY_ADAPTERS_YAML_FLEET_SETTINGS_READER_H_

// Defines the readers of the settings files of the programs that serve
// sessions.

#include <string>

#include "lacewingferry/core/fleet_settings.h"

namespace lacewingferry {

/** Reads the settings of a proxy of sessions. Throws FindingsError with all
 * mistakes and their places. */
SessionProxySettings ReadSessionProxySettings(const std::string& path);

/** Reads the settings of a control process of the fleet. Throws
 * FindingsError with all mistakes and their places. */
FleetControlProgramSettings ReadFleetControlSettings(const std::string& path);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_YAML_FLEET_SETTINGS_READER_H_
