#include "lacewingferry/app/first_result.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace lacewingferry {

std::function<void(FleetApiResult)> FirstResultWithin(
    boost::asio::io_context& context, std::chrono::milliseconds limit,
    std::function<void(FleetApiResult)> done) {
  const auto waiting =
      std::make_shared<std::function<void(FleetApiResult)>>(std::move(done));
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context, limit);
  const auto pass_on = [waiting, timer](FleetApiResult result) {
    timer->cancel();
    const auto answer = std::exchange(*waiting, nullptr);
    if (answer) answer(result);
  };
  timer->async_wait([pass_on](boost::system::error_code error) {
    if (!error) pass_on(FleetApiResult::kUnknown);
  });
  return pass_on;
}

}  // namespace lacewingferry
