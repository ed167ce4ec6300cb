#pragma once

#include "Connection/Loop/ConnectionLoop.h"

#include <functional>
#include <string>
#include <vector>

namespace Sapphireladder {

/** One page that a VM shows to its operator or to the platform. */
struct StatusPage
{
    std::string path;
    /** Gives the page's text, or why there is none. */
    std::function<RequestOutcome()> answer;
};

/** Answers requests for status pages. */
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
    RequestLimits m_limits;
};

/** @return an answer with a text. */
Answer textAnswer(std::string text);

} // namespace Sapphireladder
