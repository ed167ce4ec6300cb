#pragma once

#include "Process/Io/ProcessIo.h"
#include "Process/Loop/ProcessLoop.h"
#include "Process/Process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace Sapphireladder {

/** The process of the `gateway` command: a VM's control and traffic threads and their objects. */
class GatewayProcess
{
public:
    /** Reloads the settings. @return nothing if they are invalid. */
    using SettingsSource = std::function<std::optional<GatewaySettings>()>;

    GatewayProcess(const GatewaySettings &settings, SettingsSource source, StructuredLog &log);
    ~GatewayProcess();

    /**
     * Serves until SIGTERM or SIGINT. The calling thread becomes the control thread.
     * @return ConnectionError::ListenFailed if an address cannot be bound.
     */
    Result<> run();

private:
    void awaitSignal();
    void reloadSettings(std::string_view reason);
    void pollSettings();
    void scheduleFlush();
    void tickControl();
    void beginStop();
    void closeIdleSessions();
    void awaitIdle();
    void completeStop(std::string_view reason);
    template<typename Handler>
    void runAfter(LoopTimer &timer, Duration delay, Handler handler);

    GatewaySettings m_settings;
    SettingsSource m_settingsSource;
    StructuredLog &m_log;
    BootClock m_clock;
    boost::asio::io_context m_trafficIo{1};
    boost::asio::io_context m_controlIo{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_trafficWorkGuard;
    LoopContext m_controlContext;
    std::unique_ptr<HeaderCodec> m_headerCodec;
    Gateway m_gateway;
    GatewayControl m_control;
    std::unique_ptr<PlatformStore> m_store;
    std::unique_ptr<RowTranslator> m_translator;
    AllowanceServer m_allowanceServer;
    PlatformSession m_session;
    boost::asio::signal_set m_signals;
    LoopTimer m_flushTimer;
    LoopTimer m_settingsTimer;
    LoopTimer m_tickTimer;
    LoopTimer m_stopTimer;
    TimePoint m_stopDeadline{};
    bool m_isStopping = false;
    std::thread m_trafficThread;
};

} // namespace Sapphireladder
