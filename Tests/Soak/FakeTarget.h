#pragma once

#include "Testbed/Testbed.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Soak {

/** Executions of each request and protocol violations, over all targets. Thread-safe. */
class ExecutionLog
{
public:
    void recordExecution(const std::string &request);
    void recordFault(const std::string &fault);
    unsigned executionsOf(const std::string &request);
    std::vector<std::string> faults();

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_executions;
    std::vector<std::string> m_faults;
};

/** A fake target that implements the platform's protocol. */
class FakeTarget
{
public:
    /** @param log must outlive the target */
    FakeTarget(std::string id, ExecutionLog &log);

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
    ExecutionLog &m_log;
    std::atomic<unsigned> m_faultEvery = 0;
    std::atomic<unsigned> m_count = 0;
    std::atomic<bool> m_isDrained = false;
    Testbed::TestHttpServer m_server;
};

/** @return the body of a target's response to a request. */
std::string answerBody(const std::string &request);

} // namespace Sapphireladder::Soak
