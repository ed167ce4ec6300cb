#pragma once

#include "Connection/Loop/ConnectionLoop.h"

#include <functional>
#include <string>
#include <vector>

namespace Sapphireladder {

/** A status page of a VM, for its operator or the platform. Matched by its path. */
struct StatusPage
{
    std::string path;
    /** Returns the response, or the reason for refusing the request. */
    std::function<RequestOutcome()> createResponse;
};

/** Serves the status pages by path. */
class StatusHandler final : public RequestHandler
{
public:
    explicit StatusHandler(std::vector<StatusPage> pages)
        : m_pages(std::move(pages))
    {}

    std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                 ReplyHandler reply) override;
    void recordInvalidRequest(RefusalReason) override {}
    const RequestLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return false; }

private:
    std::vector<StatusPage> m_pages;
    /** Requests for pages have no body. Probes and scrapers send heads of less than 1 KiB. */
    RequestLimits m_limits{.maxHeadBytes = 4 * kibibyte, .maxBodyBytes = kibibyte};
};

/** @return a 200 response with the text as body. */
Response textResponse(std::string text);

} // namespace Sapphireladder
