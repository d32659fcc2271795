#include "request/requesttarget.h"

#include <algorithm>
#include <string>

namespace Hyssophall {

namespace {

bool hasEncodedSeparatorOrDot(std::string_view path)
{
    std::string lower(path);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
    for (const std::string_view encoded : {"%2f", "%5c", "%2e", "%00"}) {
        if (lower.find(encoded) != std::string::npos) {
            return true;
        }
    }
    return false;
}

bool hasDotSegment(std::string_view path)
{
    std::size_t begin = 0;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const std::string_view segment = path.substr(begin, end - begin);
        if (segment == "." || segment == "..") {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool isPlainTarget(std::string_view target)
{
    if (target.empty() || target.front() != '/' || !std::all_of(target.begin(), target.end(), [](char byte) { return byte > ' ' && byte < 0x7f; })) {
        return false;
    }
    const std::string_view path = targetPath(target);
    return path.find('\\') == std::string_view::npos && path.find('#') == std::string_view::npos && !hasDotSegment(path) && !hasEncodedSeparatorOrDot(path);
}

} // namespace Hyssophall
