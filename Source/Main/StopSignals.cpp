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

/** @param how SIG_BLOCK or SIG_UNBLOCK */
void maskHangUp(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void blockStopSignals()
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
}

void deferHangUp()
{
    maskHangUp(SIG_BLOCK);
}

void deliverHangUp()
{
    maskHangUp(SIG_UNBLOCK);
}

void waitForStopSignal()
{
    const auto signals = stopSignals();
    int number = 0;
    sigwait(&signals, &number);
}

} // namespace Sapphireladder
