#include "connection/httpmessage.h"

#include <algorithm>
#include <strings.h>

namespace Hyssophall {

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (isSameHeaderName(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

void removeHeader(HttpHeaders &headers, std::string_view name)
{
    headers.erase(
        std::remove_if(headers.begin(), headers.end(), [name](const HttpHeader &header) { return isSameHeaderName(header.name, name); }), headers.end());
}

} // namespace Hyssophall
