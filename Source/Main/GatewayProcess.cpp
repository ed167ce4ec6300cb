#include "Main/GatewayProcess.h"

#include "Main/StopSignals.h"
#include "platform/Platform.h"

#include <boost/asio/post.hpp>

#include <csignal>

#include <malloc.h>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Delay before log lines are written, so that several are written at once. */
constexpr Duration flushDelay = 200ms;
/** Interval between reads of the settings file, which may change without a SIGHUP. */
constexpr Duration settingsInterval = 5s;
/**
 * Time between the stop signal and closing the listener. The platform probes readiness each second
 * and removes a VM after two failed probes.
 */
constexpr Duration lameduckTime = 2700ms;
/** Interval between checks whether all requests have completed. */
constexpr Duration idleCheckInterval = 50ms;
/** Unused part of the stop grace period, so that the process exits before it is killed. */
constexpr Duration stopGraceMargin = 400ms;
/** Time before the end of the stop at which the last requests end, to write their responses. */
constexpr Duration lastResponseTime = 150ms;
/** Buffers of this size or more are returned to the system when they are freed. By default glibc
 * raises the threshold to the largest size freed, and large buffers then fragment the heap. */
constexpr int mappedBufferBytes = 128 * 1024;

} // namespace

GatewayProcess::GatewayProcess(const GatewaySettings &settings, SettingsSource source,
                               StructuredLog &log)
    : m_settings(settings)
    , m_settingsSource(std::move(source))
    , m_log(log)
    , m_trafficWorkGuard(boost::asio::make_work_guard(m_trafficIo))
    , m_controlContext{m_controlIo, m_clock}
    , m_headerCodec(Platform::createHeaderCodec())
    , m_gateway(m_trafficIo, m_clock, *m_headerCodec, log, settings)
    , m_control(m_gateway, log, m_clock)
    , m_store(Platform::createStore(m_controlContext, settings.platformEndpoint))
    , m_translator(Platform::createRowTranslator())
    , m_allowanceServer(m_controlContext, m_control, settings)
    , m_session(m_controlContext, *m_store, *m_translator, m_control, log, settings)
    , m_signals(m_controlIo, SIGTERM, SIGINT, SIGHUP)
    , m_flushTimer(m_controlIo)
    , m_settingsTimer(m_controlIo)
    , m_tickTimer(m_controlIo)
    , m_stopTimer(m_controlIo)
{}

GatewayProcess::~GatewayProcess()
{
    m_log.setPendingHandler({});
    m_trafficIo.stop();
    if (m_trafficThread.joinable())
        m_trafficThread.join();
}

Result<> GatewayProcess::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    ::mallopt(M_MMAP_THRESHOLD, mappedBufferBytes);
    m_log.setPendingHandler(
            [this] { boost::asio::post(m_controlIo, [this] { scheduleFlush(); }); });
    TRY(m_gateway.listen());
    TRY(m_allowanceServer.listen());
    m_log.record(EventId::ProcessStarted, {{"vm", m_settings.vm.string()},
                                           {"zone", m_settings.zone.string()},
                                           {"callers", m_settings.callerEndpoint.toString()},
                                           {"store", m_settings.platformEndpoint.toString()}});
    awaitSignal();
    deliverHangUp();
    pollSettings();
    TRY(m_session.start());
    m_trafficThread = std::thread([this] { m_trafficIo.run(); });
    m_controlIo.run();
    return success();
}

template<typename Handler>
void GatewayProcess::runAfter(LoopTimer &timer, Duration delay, Handler handler)
{
    timer.expires_after(delay);
    timer.async_wait([handler](const auto &ec) {
        if (!ec)
            handler();
    });
}

void GatewayProcess::awaitSignal()
{
    m_signals.async_wait([this](const auto &ec, int number) {
        if (ec)
            return;
        if (number == SIGHUP)
            reloadSettings("signal");
        else if (!m_isStopping)
            beginStop();
        awaitSignal();
    });
}

void GatewayProcess::pollSettings()
{
    runAfter(m_settingsTimer, settingsInterval, [this] {
        reloadSettings("changed");
        pollSettings();
    });
}

void GatewayProcess::reloadSettings(std::string_view reason)
{
    const auto settings = m_settingsSource();
    if (!settings) {
        m_log.record(EventId::SettingsRejected, {{"why", std::string(reason)}});
        return;
    }
    const bool isChanged = *settings != m_settings;
    if (reason == "signal" || isChanged)
        m_log.record(EventId::SettingsReloaded,
                     {{"why", std::string(reason)}, {"changed", isChanged ? "yes" : "no"}});
    if (!isChanged)
        return;
    m_settings = *settings;
    m_gateway.reconfigure(*settings);
    m_allowanceServer.reconfigure(*settings);
}

void GatewayProcess::scheduleFlush()
{
    runAfter(m_flushTimer, flushDelay, [this] {
        if (!m_log.flush())
            scheduleFlush();
        tickControl();
    });
}

void GatewayProcess::tickControl()
{
    const auto next = m_control.tick();
    if (next)
        runAfter(m_tickTimer, std::max(Duration::zero(), *next - m_clock.now()),
                 [this] { tickControl(); });
}

void GatewayProcess::beginStop()
{
    m_isStopping = true;
    m_stopDeadline = m_clock.now() + m_settings.stopGrace - stopGraceMargin;
    m_log.record(EventId::ShutdownStep, {{"step", "readiness-off"}});
    boost::asio::post(m_trafficIo, [this, deadline = m_stopDeadline - lastResponseTime] {
        m_gateway.beginStop(deadline);
    });
    runAfter(m_stopTimer, std::min(lameduckTime, m_settings.stopGrace / 2),
             [this] { closeIdleSessions(); });
}

void GatewayProcess::closeIdleSessions()
{
    m_log.record(EventId::ShutdownStep, {{"step", "no-new-connections"}});
    boost::asio::post(m_trafficIo, [this] { m_gateway.closeIdleSessions(); });
    awaitIdle();
}

void GatewayProcess::awaitIdle()
{
    runAfter(m_stopTimer, idleCheckInterval, [this] {
        boost::asio::post(m_trafficIo, [this] {
            const auto deadline = m_gateway.stopDeadline();
            if (deadline && m_clock.now() >= *deadline)
                m_gateway.expireRequests();
            const bool isIdle = m_gateway.isIdle();
            boost::asio::post(m_controlIo, [this, isIdle] {
                if (isIdle)
                    completeStop("idle");
                else if (m_clock.now() >= m_stopDeadline)
                    completeStop("grace-over");
                else
                    awaitIdle();
            });
        });
    });
}

void GatewayProcess::completeStop(std::string_view reason)
{
    m_log.record(EventId::ProcessStopped, {{"why", std::string(reason)}});
    m_session.stop();
    m_allowanceServer.close();
    boost::asio::post(m_trafficIo, [this] {
        m_gateway.closeAll();
        m_trafficIo.stop();
    });
    m_controlIo.stop();
}

} // namespace Sapphireladder
