#ifndef LACEWINGFERRY_ADAPTERS_YAML_CONTROL_SETTINGS_READER_H_
#define LACEWINGFERRY_ADAPTERS_YAML_CONTROL_SETTINGS_READER_H_

// Defines ReadControlSettings, which reads a control process's settings file.

#include <string>

#include "lacewingferry/core/settings.h"

namespace lacewingferry {

/** Reads the settings of a control process from a YAML file whose keys are
 * the members of ControlSettings. Throws FindingsError with every mistake and
 * its place. */
ControlSettings ReadControlSettings(const std::string& path);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_ADAPTERS_YAML_CONTROL_SETTINGS_READER_H_
