#include "Main/StopSignals.h"

#include <csignal>

namespace Sapphireladder {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int number = 0;
    sigwait(&signals, &number);
}

} // namespace Sapphireladder
