#pragma once

#include <Poco/Process.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder::Scenarios {

/** A child process of a test. The destructor kills it if it is still running. */
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal to the process. */
    void signal(int number);
    /** Waits for the process to end. @return its exit code, or the negated signal number. */
    int wait();
    bool isRunning();
    int pid() const { return m_pid; }

private:
    int m_pid;
    bool m_waited = false;
    int m_exitCode = 0;
};

/** Exit code and output of a program. */
struct ProgramOutput
{
    int exitCode = 0;
    std::string out;
    std::string err;
};

/** Runs a program to completion. */
ProgramOutput runProgram(const std::string &program, const std::vector<std::string> &arguments);

} // namespace Sapphireladder::Scenarios
