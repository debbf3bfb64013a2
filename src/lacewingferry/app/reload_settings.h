#ifndef LACEWINGFERRY_APP_RELOAD_SETTINGS_H_
#define LACEWINGFERRY_APP_RELOAD_SETTINGS_H_

// Defines ReloadSettings, what a daemon does when it is told to read its
// settings again.

#include <functional>

#include "lacewingferry/ports/event_port.h"

namespace lacewingferry {

/** Runs reload and records that it was done, or why the settings before were
 * kept: reload throws UserError without having changed anything. */
void ReloadSettings(const EventPort& events,
                    const std::function<void()>& reload);

}  // namespace lacewingferry

#endif  // LACEWINGFERRY_APP_RELOAD_SETTINGS_H_
