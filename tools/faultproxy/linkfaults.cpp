#include "linkfaults.h"

#include <map>
#include <set>

namespace Hyssophall {

namespace {

const std::map<std::string, bool LinkFaults::*> switches{
    {"cut_forward", &LinkFaults::cutForward},
    {"cut_backward", &LinkFaults::cutBackward},
    {"freeze_open", &LinkFaults::freezeOpen},
    {"refuse_new", &LinkFaults::refuseNew},
    {"reset_open", &LinkFaults::resetOpen},
    {"reset_on_answer", &LinkFaults::resetOnAnswer},
};

}

boost::leaf::result<LinkFaults> parseLinkFaults(const nlohmann::json &description)
{
    LinkFaults faults;
    if (!description.is_object()) {
        return boost::leaf::new_error(InvalidLinkFaults{"body"});
    }
    for (const nlohmann::detail::iteration_proxy_value<nlohmann::json::const_iterator> &item : description.items()) {
        const auto found = switches.find(item.key());
        if (found != switches.end() && item.value().is_boolean()) {
            faults.*(found->second) = item.value().get<bool>();
        } else if (item.key() == "truncate_backward_after" && item.value().is_number_integer() && item.value() >= 0) {
            faults.truncateBackwardAfter = item.value().get<std::uint64_t>();
        } else if (item.key() == "delay_ms" && item.value().is_number_integer() && item.value() >= 0) {
            faults.delay = std::chrono::milliseconds(item.value().get<std::int64_t>());
        } else {
            return boost::leaf::new_error(InvalidLinkFaults{item.key()});
        }
    }
    return faults;
}

} // namespace Hyssophall
