#include "lacewingferry/app/followed_ports.h"

#include <chrono>
#include <utility>

namespace lacewingferry {

MemberAdminPort FollowedBy(MemberAdminPort port, std::function<void()> step) {
  return MemberAdminPort{
      [port = std::move(port), step = std::move(step)](
          const LinkTarget& target, const MemberRequest& request,
          std::chrono::milliseconds limit, MemberAdminPort::Done done) {
        port.ask(target, request, limit,
                 [step, done = std::move(done)](const AdminAnswer& answer) {
                   done(answer);
                   step();
                 });
      }};
}

PromotionPort FollowedBy(PromotionPort port, std::function<void()> step) {
  return PromotionPort{[port = std::move(port), step = std::move(step)](
                           const PromotionCall& call,
                           PromotionCallHooks hooks) {
    hooks.done = [step,
                  done = std::move(hooks.done)](const PromotionOutcome& end) {
      done(end);
      step();
    };
    port.promote(call, std::move(hooks));
  }};
}

}  // namespace lacewingferry
