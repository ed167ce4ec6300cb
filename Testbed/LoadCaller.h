#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Testbed/LoadPlan.h"
#include "Testbed/LoadTestReport.h"

#include <memory>
#include <vector>

namespace Sapphireladder::Testbed {

/** Sends the requests of one thread, at most one at a time, and counts their outcomes. */
class LoadCaller
{
public:
    explicit LoadCaller(const LoadOptions &options);

    /** Sends requests until the plan ends. */
    void run(LoadPlan &plan);
    const LoadTestReport &report() const { return m_report; }

private:
    void send(const PlannedRequest &request);
    Result<std::unique_ptr<UpstreamSession>> session(std::size_t endpoint, TimePoint deadline);
    void recordResponse(const PlannedRequest &request, const CompleteResponse &response);

    const LoadOptions &m_options;
    SteadyClock m_clock;
    std::string m_body;
    /** Idle connection to each endpoint, or null. */
    std::vector<std::unique_ptr<UpstreamSession>> m_idle;
    LoadTestReport m_report;
};

/** Runs a load test to completion. @return the outcomes of its requests. */
LoadTestReport runLoad(const LoadOptions &options);

} // namespace Sapphireladder::Testbed
