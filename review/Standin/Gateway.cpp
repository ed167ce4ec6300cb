#include "Gateway.h"

#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

/** The command of the role "gateway" in the deploy file. */
constexpr const char *program = "target/Source/sapphireladder";
constexpr const char *role = "gateway";

} // namespace

Gateway::Gateway(const std::string &vm, const std::string &folder, Store &store)
    : m_vm(vm)
{
    const auto settings = folder + '/' + vm + ".yaml";
    const auto address = [](unsigned port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    std::ofstream(settings) << "vm: \"" << vm
                            << "\"\nzone: \"zone-a\"\ncaller_endpoint: " << address(m_callerPort)
                            << "ready_endpoint: " << address(m_readyPort)
                            << "metrics_endpoint: " << address(findFreePort())
                            << "relay_endpoint: " << address(findFreePort())
                            << "platform_endpoint: " << address(store.addVm(vm))
                            << "change_bound: \"2000ms\"\nstop_grace: \"6s\"\nfirst_start: true\n"
                               "repeat_ratio: 0.2\nrepeat_slack: 58\nrepeat_window: \"10s\"\n"
                               "asks_per_target: 60\ncores: 0.2\n";
    const auto log = folder + '/' + vm + ".log";
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    const std::string variable = "SAPPHIRELADDER_SETTINGS=" + settings;
    std::string arguments[] = {program, role};
    std::string environment[] = {variable, "PATH=/usr/bin:/bin", "LANG=C"};
    char *const argv[] = {arguments[0].data(), arguments[1].data(), nullptr};
    char *const envp[] = {environment[0].data(), environment[1].data(), environment[2].data(),
                          nullptr};
    ::execve(program, argv, envp);
    ::_exit(2);
}

Gateway::~Gateway()
{
    sendSignal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void Gateway::sendSignal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Gateway::awaitReady(Milliseconds timeout) const
{
    const auto deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        const auto connection = connectTo(m_readyPort);
        HttpMessage response;
        if (connection && connection->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && connection->read(response, Milliseconds(500)) == ReadResult::Complete
            && response.status() == 200)
            return true;
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

} // namespace Review
