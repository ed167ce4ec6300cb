#pragma once

#include "Testbed/Testbed.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Soak {

/** What the targets saw, over all of them. */
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

/** A target that speaks the platform's protocol. */
class StandinTarget
{
public:
    /** @param ledger outlives the target */
    StandinTarget(std::string id, RunLedger &ledger);

    const std::string &id() const { return m_id; }
    Endpoint endpoint() const { return m_server.endpoint(); }
    /** @return the target's record, as it registers itself at the address given. */
    std::string record(const Endpoint &address, bool isDraining) const;
    /** Loses, cuts or sheds one of so many requests; none if zero. */
    void setFaultEvery(unsigned n) { m_faultEvery = n; }
    /** New requests from now on are faults. */
    void setDrained() { m_isDrained = true; }

private:
    void handle(Testbed::HttpExchangeContext &context);
    void run(Testbed::HttpExchangeContext &context, const std::string &request);

    const std::string m_id;
    RunLedger &m_ledger;
    std::atomic<unsigned> m_faultEvery = 0;
    std::atomic<unsigned> m_count = 0;
    std::atomic<bool> m_isDrained = false;
    Testbed::HttpStandin m_server;
};

/** @return the body that a target answers to a request. */
std::string answerBody(const std::string &request);

} // namespace Sapphireladder::Soak
