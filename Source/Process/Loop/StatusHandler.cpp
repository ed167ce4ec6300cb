#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

Response textResponse(std::string text)
{
    constexpr unsigned ok = 200;
    return {ok, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

std::shared_ptr<PendingRequestHandle> StatusHandler::handle(CallerRequest request,
                                                            ReplyHandler reply)
{
    const auto path = request.requestTarget.substr(0, request.requestTarget.find('?'));
    const auto it = std::find_if(m_pages.begin(), m_pages.end(),
                                 [&path](const auto &page) { return page.path == path; });
    if (it == m_pages.end())
        reply({Refusal{RefusalReason::UnknownService}, {}});
    else
        reply({it->createResponse(), {}});
    return nullptr;
}

} // namespace Sapphireladder
