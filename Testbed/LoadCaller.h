#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Testbed/LoadPlan.h"
#include "Testbed/RunReport.h"

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
    const RunReport &report() const { return m_report; }

private:
    void send(const PlannedRequest &request);
    Result<std::unique_ptr<UpstreamSession>> session(std::size_t endpoint, TimePoint deadline);
    void judge(const PlannedRequest &request, const WholeAnswer &answer);

    const LoadOptions &m_options;
    SteadyClock m_clock;
    std::string m_body;
    /** Idle connection to each endpoint, or null. */
    std::vector<std::unique_ptr<UpstreamSession>> m_idle;
    RunReport m_report;
};

/** Runs a load test to completion. @return the outcomes of its requests. */
RunReport runLoad(const LoadOptions &options);

} // namespace Sapphireladder::Testbed
