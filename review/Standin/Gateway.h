#pragma once

#include "Store.h"

#include <csignal>
#include <string>

#include <sys/types.h>

namespace Review {

/** A VM of Sapphireladder, started with the command of the deploy file. */
class Gateway
{
public:
    /**
     * Writes the settings and starts the process.
     * @param folder where the settings and the log are written
     */
    Gateway(const std::string &vm, const std::string &folder, Store &store);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    /** Kills the process. */
    ~Gateway();

    const std::string &vm() const { return m_vm; }
    unsigned callerPort() const { return m_callerPort; }
    /** @return whether the process reports that it is ready within the time. */
    bool awaitReady(Milliseconds timeout) const;
    void sendSignal(int number) const;

private:
    std::string m_vm;
    unsigned m_callerPort = findFreePort();
    unsigned m_readyPort = findFreePort();
    pid_t m_pid = -1;
};

} // namespace Review
