#pragma once

#include "Testbed/Testbed.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Soak {

/** Records executions of requests and protocol violations at all targets. Thread-safe. */
class ExecutionLog
{
public:
    void recordExecution(const std::string &request);
    void recordViolation(const std::string &violation);
    unsigned executionsOf(const std::string &request);
    std::vector<std::string> violations();

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_executions;
    std::vector<std::string> m_violations;
};

/** A fake target that implements the platform's protocol. */
class FakeTarget
{
public:
    /** @param log must outlive the target */
    FakeTarget(std::string id, ExecutionLog &log);

    const std::string &id() const { return m_id; }
    Endpoint endpoint() const { return m_server.endpoint(); }
    /** @return the row with which the target registers itself under the address. */
    std::string registration(const Endpoint &address, bool isDraining) const;
    /** Sheds every n-th request, or loses or truncates its response, in turn. 0 disables faults. */
    void setFaultInterval(unsigned n) { m_faultInterval = n; }
    /** Marks the target as drained; requests that arrive later are recorded as violations. */
    void setDrained() { m_isDrained = true; }

private:
    void handle(Testbed::HttpExchangeContext &context);
    void execute(Testbed::HttpExchangeContext &context, const std::string &request);

    const std::string m_id;
    ExecutionLog &m_log;
    std::atomic<unsigned> m_faultInterval = 0;
    std::atomic<unsigned> m_requestCount = 0;
    std::atomic<bool> m_isDrained = false;
    Testbed::TestHttpServer m_server;
};

/** @return the body of a target's response to a request. */
std::string responseBody(const std::string &request);

} // namespace Sapphireladder::Soak
