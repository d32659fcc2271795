#pragma once

#include "process/boundedring.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace Hyssophall {

/// How much a log line is missed when there are too many of them.
enum class LineKind {
    /// A change of what the process believes, a start, a stop, a warning or an error.
    Event,
    /// A request that was refused or failed, or that was tried more than once.
    Failure,
    /// A request that went well.
    Success,
};

/**
 * Writes log lines to a file descriptor on a thread of its own, so that nobody waits for whoever reads them.
 *
 * Each kind has a budget of lines a second, and what exceeds it or finds the ring full is counted and told in a line of its own.
 */
class LineWriter
{
public:
    struct Options {
        int descriptor = 1;
        /// Lines that wait for the thread.
        std::size_t capacity = 2000;
        /// Lines a second of each kind. A VM serves some hundred requests a second at most, and each line costs about 30 us.
        std::size_t eventsPerSecond = 300;
        std::size_t failuresPerSecond = 200;
        std::size_t successesPerSecond = 50;
        SteadyClock clock;
        /// The line that tells how many lines of a kind were dropped.
        std::function<std::string(LineKind, std::uint64_t)> droppedLine;
    };

    explicit LineWriter(Options options);

    /// Closes the writer.
    ~LineWriter();
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;

    /// Never blocks. @p line has no line end.
    void write(LineKind kind, std::string line);

    /// Writes what waits, for half a second at most. Later lines are dropped.
    void close();

    std::uint64_t droppedLines() const;

private:
    struct Budget {
        std::size_t left = 0;
        std::uint64_t dropped = 0;
    };

    void run();
    bool writeAll(const std::string &text) const;
    std::size_t perSecond(LineKind kind) const;
    void refill(SteadyTime now);

    const Options options;
    BoundedRing<std::string> lines;
    std::mutex mutex;
    std::map<LineKind, Budget> budgets;
    SteadyTime second;
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace Hyssophall
