#include "lacewingferry/app/reload_settings.h"

#include "lacewingferry/core/errors.h"

namespace lacewingferry {

void ReloadSettings(const EventPort& events,
                    const std::function<void()>& reload) {
  try {
    reload();
    events.record(Event{EventCode::kSettingsReloaded});
  } catch (const UserError& wrong) {
    events.record(
        Event{EventCode::kSettingsReloaded,
              EventLevel::kError,
              {{"kept", "the settings before"}, {"reason", wrong.what()}}});
  }
}

}  // namespace lacewingferry
