#include "childprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

extern char **environ;

namespace Hyssophall::Harness {

namespace {

constexpr std::chrono::milliseconds waitInterval{5};

}

boost::leaf::result<std::unique_ptr<ChildProcess>> ChildProcess::create(
    const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile)
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    for (std::string &word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t process = 0;
    const int result = posix_spawn(&process, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        return boost::leaf::new_error(ProgramNotStarted{program});
    }
    return std::unique_ptr<ChildProcess>(new ChildProcess(process));
}

ChildProcess::ChildProcess(pid_t process)
    : process(process)
{
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

pid_t ChildProcess::id() const
{
    return this->process;
}

void ChildProcess::terminate()
{
    if (!this->exitCode) {
        ::kill(this->process, SIGTERM);
    }
}

void ChildProcess::kill()
{
    if (!this->exitCode) {
        ::kill(this->process, SIGKILL);
        this->waitForExit(std::chrono::seconds(10));
    }
}

void ChildProcess::pause()
{
    ::kill(this->process, SIGSTOP);
}

void ChildProcess::resume()
{
    ::kill(this->process, SIGCONT);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
    while (!this->exitCode) {
        int status = 0;
        if (waitpid(this->process, &status, WNOHANG) == this->process) {
            this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(waitInterval);
    }
    return this->exitCode;
}

std::chrono::milliseconds ChildProcess::processorTime() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/stat");
    std::string line;
    std::getline(file, line);
    // The fields after the program's name, which may hold spaces itself; utime and stime are fields 14 and 15.
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 1)));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    long userTicks = 0;
    long systemTicks = 0;
    fields >> userTicks >> systemTicks;
    return std::chrono::milliseconds((userTicks + systemTicks) * 1000 / sysconf(_SC_CLK_TCK));
}

std::size_t ChildProcess::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace Hyssophall::Harness
