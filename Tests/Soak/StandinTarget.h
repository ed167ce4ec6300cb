#pragma once

#include "Testbed/Testbed.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Soak {

/** Executions of each request and protocol violations, over all targets. Thread-safe. */
class RunLedger
{
public:
    void recordRun(const std::string &request);
    void recordFault(const std::string &fault);
    unsigned runsOf(const std::string &request);
    std::vector<std::string> faults();

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
    std::vector<std::string> m_faults;
};

/** A fake target that implements the platform's protocol. */
class StandinTarget
{
public:
    /** @param ledger must outlive the target */
    StandinTarget(std::string id, RunLedger &ledger);

    const std::string &id() const { return m_id; }
    Endpoint endpoint() const { return m_server.endpoint(); }
    /** @return the record with which the target registers itself under the address. */
    std::string record(const Endpoint &address, bool isDraining) const;
    /** Injects a fault into every n-th request: shed, lost or truncated. 0 disables faults. */
    void setFaultEvery(unsigned n) { m_faultEvery = n; }
    /** Marks the target as drained; requests that arrive later are recorded as faults. */
    void setDrained() { m_isDrained = true; }

private:
    void handle(Testbed::HttpExchangeContext &context);
    void run(Testbed::HttpExchangeContext &context, const std::string &request);

    const std::string m_id;
    RunLedger &m_ledger;
    std::atomic<unsigned> m_faultEvery = 0;
    std::atomic<unsigned> m_count = 0;
    std::atomic<bool> m_isDrained = false;
    Testbed::TestHttpServer m_server;
};

/** @return the body of a target's response to a request. */
std::string answerBody(const std::string &request);

} // namespace Sapphireladder::Soak
