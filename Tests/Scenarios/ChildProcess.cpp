#include "Scenarios/ChildProcess.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/StreamCopier.h>

#include <csignal>
#include <thread>

#include <sys/wait.h>

namespace Sapphireladder::Scenarios {

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
    : m_pid(Poco::Process::launch(program, arguments).id())
{}

ChildProcess::~ChildProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        wait();
    }
}

void ChildProcess::signal(int number)
{
    ::kill(m_pid, number);
}

int ChildProcess::wait()
{
    int status = 0;
    if (!m_waited && ::waitpid(m_pid, &status, 0) == m_pid) {
        m_waited = true;
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_exitCode;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (!m_waited && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_waited = true;
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return !m_waited;
}

ProgramOutput runProgram(const std::string &program, const std::vector<std::string> &arguments)
{
    Poco::Pipe outPipe;
    Poco::Pipe errPipe;
    const auto handle = Poco::Process::launch(program, arguments, nullptr, &outPipe, &errPipe);
    ProgramOutput output;
    // Both pipes are read concurrently, since a full pipe would block the program.
    std::thread errReader([&] {
        Poco::PipeInputStream err(errPipe);
        Poco::StreamCopier::copyToString(err, output.err);
    });
    Poco::PipeInputStream out(outPipe);
    Poco::StreamCopier::copyToString(out, output.out);
    errReader.join();
    output.exitCode = handle.wait();
    return output;
}

} // namespace Sapphireladder::Scenarios
