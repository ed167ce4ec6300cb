#pragma once

#include <Poco/Process.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder::Scenarios {

/** A program that a test started. It is killed at the end of the test if it still runs. */
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal to the process. */
    void signal(int number);
    /** @return the exit code once the process has ended; negative signal number if it was killed.
     */
    int wait();
    bool isRunning();
    int pid() const { return m_pid; }

private:
    int m_pid;
    bool m_waited = false;
    int m_exitCode = 0;
};

/** What a program printed, and how it ended. */
struct ProgramOutput
{
    int exitCode = 0;
    std::string out;
    std::string err;
};

/** Runs a program to its end. */
ProgramOutput runProgram(const std::string &program, const std::vector<std::string> &arguments);

} // namespace Sapphireladder::Scenarios
