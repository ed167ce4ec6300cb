#pragma once

#include "Connection/RawSocket.h"

#include <condition_variable>
#include <map>
#include <set>

namespace Sapphireladder::Tests {

/** A listener whose requests are answered by the test. */
class CallerFixture : public TrafficService
{
public:
    CallerFixture();
    ~CallerFixture() override { listener.reset(); }

    /** Starts the listener. Tests change `options` before. */
    void listen();
    /** @return the answer to one request on a connection of its own. */
    std::string call(std::string_view request);
    /** Lets requests whose path is /held wait. */
    void setHolding(bool holding);
    /** @return requests that reached the service. */
    unsigned served() const { return m_served; }
    unsigned refused(RefusalReason reason) const;
    /** @return outcomes of any kind. */
    unsigned recorded() const { return m_recorded; }

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
    bool m_holding = false;
    std::atomic<unsigned> m_served{0};
    std::atomic<unsigned> m_recorded{0};
    std::map<RefusalReason, unsigned> m_refused;
};

} // namespace Sapphireladder::Tests
