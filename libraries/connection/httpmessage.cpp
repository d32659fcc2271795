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

bool isPlainHeader(const HttpHeader &header)
{
    const bool plainName
        = !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), [](char byte) { return byte > ' ' && byte < 0x7f && byte != ':'; });
    return plainName && std::all_of(header.value.begin(), header.value.end(), [](char byte) {
        const unsigned char code = static_cast<unsigned char>(byte);
        return (code >= ' ' && code != 0x7f) || code == '\t';
    });
}

} // namespace Hyssophall
