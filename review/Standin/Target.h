#pragma once

#include "Record.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <random>
#include <set>

namespace Review {

/** How a target behaves. */
struct TargetOptions
{
    std::string id;
    std::string service;
    unsigned slots = 6;
    unsigned maxWaiting = 12;
    /** Whether responses tell the load. If not, a health probe needs a slot, too. */
    bool tellsLoad = true;
    /** Time that the target works on a request. */
    std::function<Milliseconds(const HttpMessage &request)> workTime;
    /** Status of a response to a request that was run. */
    std::function<int(const HttpMessage &request)> statusOf;
};

/** A server of one service. It runs each request in a slot and drops it if its caller closes. */
class Target
{
public:
    Target(TargetOptions options, Record &record);

    const TargetOptions &options() const { return m_options; }
    /** @return the value of the target's entry in the registry. */
    std::string entry(const std::string &state, unsigned sequence) const;
    /** Sets whether the health probe fails although the target serves requests. */
    void setReportsUnhealthy(bool reportsUnhealthy) { m_reportsUnhealthy = reportsUnhealthy; }
    /** Sets the share of responses of which a second copy follows late. */
    void setLateCopyShare(double share) { m_lateCopyShare = share; }
    /** Keeps slots and queue occupied, as requests of other callers would. */
    void setFull(bool isFull);
    /** @return how often the target began to work on a request. */
    unsigned runCount(const std::string &requestId);
    /** @return whether the caller left while the target worked on the request. */
    bool isLeft(const std::string &requestId);

private:
    void serve(HttpConnection &connection);
    std::string respond(HttpConnection &connection, const HttpMessage &request);
    std::string health();
    std::string run(HttpConnection &connection, const HttpMessage &request);
    bool takeSlot(Clock::time_point deadline);
    void releaseSlot();
    std::string load();
    /** @param idField the header field that names the request or the target */
    std::string shed(const std::string &idField);
    bool shouldCopy();

    const TargetOptions m_options;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    bool m_isFull = false;
    std::map<std::string, unsigned> m_runCounts;
    std::set<std::string> m_leftRequests;
    std::mt19937 m_random{7};
    std::atomic<bool> m_reportsUnhealthy = false;
    std::atomic<double> m_lateCopyShare = 0;
    HttpServer m_server;
};

} // namespace Review
