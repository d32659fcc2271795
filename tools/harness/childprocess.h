#pragma once

#include <boost/leaf/result.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Hyssophall::Harness {

/// The program can't be started. Source: ChildProcess::create().
struct ProgramNotStarted {
    std::string program;
};

/// One program started by a test or a bench; killed at the latest when the object is destroyed.
class ChildProcess
{
public:
    /// Starts a program with its output going to @p outputFile. Errors: ProgramNotStarted.
    static boost::leaf::result<std::unique_ptr<ChildProcess>> create(
        const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t id() const;

    /// Sends SIGTERM.
    void terminate();
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Sends SIGSTOP or SIGCONT.
    void pause();
    void resume();

    /// The exit code, or the negative number of the signal that ended the process; nothing when it still runs after @p timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);

    /// Processor time used so far, user and system. Source: /proc.
    std::chrono::milliseconds processorTime() const;

    /// Resident memory in bytes. Source: /proc.
    std::size_t residentBytes() const;

private:
    explicit ChildProcess(pid_t process);

    const pid_t process;
    std::optional<int> exitCode;
};

} // namespace Hyssophall::Harness
