#include "Request/Http/RequestHttp.h"

#include <algorithm>

namespace Sapphireladder {

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::string_view names[] = {
            "Connection",
            "Content-Length",
            "Host",
            "Keep-Alive",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "Proxy-Connection",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
    };
    return std::any_of(std::begin(names), std::end(names),
                       [name](auto it) { return equalsIgnoringCase(it, name); });
}

} // namespace Sapphireladder
