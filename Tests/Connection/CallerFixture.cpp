#include "Connection/CallerFixture.h"

namespace Sapphireladder::Tests {

CallerFixture::CallerFixture()
{
    Preset preset;
    preset.name = PresetName("ordinary");
    preset.services.emplace_back().name = ServiceName("botolchin");
    m_snapshot = PresetSnapshot::create(1, ContentDigest("a"), preset).value();
    options.endpoint = {"127.0.0.1", 0};
    options.trafficThreads = 4;
    options.stopIdleTimeout = std::chrono::milliseconds(200);
    options.limits.maxBodyBytes = 1024;
}

void CallerFixture::listen()
{
    listener = std::move(CallerListener::create(options, *this).value());
}

std::string CallerFixture::call(std::string_view request)
{
    RawSocket socket(listener->endpoint());
    socket.send(request);
    return socket.readResponse();
}

void CallerFixture::setBlocked(bool isBlocked)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isBlocked = isBlocked;
    }
    m_changed.notify_all();
}

unsigned CallerFixture::refusedCount(RefusalReason reason) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_refused.find(reason);
    return it == m_refused.end() ? 0 : it->second;
}

RequestOutcome CallerFixture::serve(const RequestInfo &info, const ServicePolicy &,
                                    std::span<const HeaderField>, std::string_view body)
{
    ++m_served;
    if (info.path == "/held") {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_isBlocked; });
    }
    return Response{200, {}, std::string(info.path) + "|" + std::string(body)};
}

void CallerFixture::recordOutcome(const RequestOutcome &outcome, Duration)
{
    const std::lock_guard lock(m_mutex);
    ++m_recorded;
    if (const auto *refusal = std::get_if<Refusal>(&outcome))
        ++m_refused[refusal->reason];
}

} // namespace Sapphireladder::Tests
