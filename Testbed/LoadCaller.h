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
    /** @return the idle session to the endpoint, or a new one. */
    Result<std::unique_ptr<UpstreamSession>> takeSession(std::size_t endpointIndex,
                                                         TimePoint deadline);
    void recordResponse(const PlannedRequest &request, const CompleteResponse &response);

    const LoadOptions &m_options;
    SteadyClock m_clock;
    std::string m_body;
    /** Idle session to each endpoint, or null. */
    std::vector<std::unique_ptr<UpstreamSession>> m_idleSessions;
    LoadTestReport m_report;
};

/** Runs a load test to completion. @return the outcomes of its requests. */
LoadTestReport runLoadTest(const LoadOptions &options);

} // namespace Sapphireladder::Testbed
