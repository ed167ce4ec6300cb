#pragma once

#include "Connection/RawSocket.h"

#include <condition_variable>
#include <map>
#include <set>

namespace Sapphireladder::Tests {

/** A listener with a TrafficService that echoes path and body of each request. */
class CallerFixture : public TrafficService
{
public:
    CallerFixture();
    ~CallerFixture() override { listener.reset(); }

    /** Starts the listener with `options`. */
    void listen();
    /** Sends one request on a new connection. @return the response. */
    std::string call(std::string_view request);
    /** Sets whether requests for /held block until this is called with false. */
    void setBlocked(bool isBlocked);
    /** @return the number of requests that reached the service. */
    unsigned servedCount() const { return m_served; }
    unsigned refusedCount(RefusalReason reason) const;
    /** @return the number of recorded outcomes of any kind. */
    unsigned recordedCount() const { return m_recorded; }

    std::shared_ptr<const PresetSnapshot> preset() const override { return m_snapshot; }
    RequestOutcome serve(const RequestInfo &info, const ServicePolicy &policy,
                         std::span<const HeaderField> headers, std::string_view body) override;
    void recordOutcome(const RequestOutcome &outcome, Duration latency) override;
    bool isStopping() const override { return false; }

    ListenerOptions options;
    std::unique_ptr<CallerListener> listener;

private:
    std::shared_ptr<const PresetSnapshot> m_snapshot;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isBlocked = false;
    std::atomic<unsigned> m_served{0};
    std::atomic<unsigned> m_recorded{0};
    std::map<RefusalReason, unsigned> m_refused;
};

} // namespace Sapphireladder::Tests
