#include "request/requestdeadline.h"

#include <algorithm>
#include <charconv>

namespace Hyssophall {

std::optional<std::chrono::milliseconds> requestTimeout(const HttpHeaders &headers, const std::string &name, std::chrono::milliseconds fallback)
{
    const std::string *text = findHeader(headers, name);
    if (text == nullptr) {
        return std::min(fallback, maximumRequestTimeout);
    }
    std::chrono::milliseconds::rep count = 0;
    const char *end = text->data() + text->size();
    const std::from_chars_result result = std::from_chars(text->data(), end, count);
    if (result.ec != std::errc() || result.ptr != end || count <= 0) {
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds(count), maximumRequestTimeout);
}

} // namespace Hyssophall
