#include "process/telemetry/linewriter.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace Hyssophall {

namespace {

constexpr std::chrono::milliseconds wake{250};
constexpr std::chrono::milliseconds lastWrites{500};

} // namespace

LineWriter::LineWriter(Options options)
    : options(std::move(options))
    , lines(this->options.capacity)
    , second(this->options.clock())
{
    for (const LineKind kind : {LineKind::Event, LineKind::Failure, LineKind::Success}) {
        this->budgets[kind].left = this->perSecond(kind);
    }
    this->thread = std::thread([this] { this->run(); });
}

LineWriter::~LineWriter()
{
    this->close();
}

void LineWriter::close()
{
    this->stopping = true;
    this->lines.close();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void LineWriter::write(LineKind kind, std::string line)
{
    line += '\n';
    std::lock_guard<std::mutex> lock(this->mutex);
    this->refill(this->options.clock());
    Budget &budget = this->budgets[kind];
    if (budget.left == 0 || !this->lines.tryPush(std::move(line))) {
        ++budget.dropped;
        ++this->dropped;
        return;
    }
    --budget.left;
}

std::uint64_t LineWriter::droppedLines() const
{
    return this->dropped;
}

void LineWriter::refill(SteadyTime now)
{
    if (now - this->second < std::chrono::seconds(1)) {
        return;
    }
    this->second = now;
    for (std::pair<const LineKind, Budget> &entry : this->budgets) {
        entry.second.left = this->perSecond(entry.first);
        if (entry.second.dropped > 0 && this->lines.tryPush(this->options.droppedLine(entry.first, entry.second.dropped) + "\n")) {
            entry.second.dropped = 0;
        }
    }
}

std::size_t LineWriter::perSecond(LineKind kind) const
{
    switch (kind) {
    case LineKind::Event:
        return this->options.eventsPerSecond;
    case LineKind::Failure:
        return this->options.failuresPerSecond;
    case LineKind::Success:
        break;
    }
    return this->options.successesPerSecond;
}

void LineWriter::run()
{
    while (true) {
        std::optional<std::string> line = this->lines.popUntil(this->options.clock() + wake);
        if (line) {
            // A reader that is gone for good leaves nobody to tell.
            static_cast<void>(this->writeAll(*line));
        } else if (this->stopping) {
            return;
        }
    }
}

bool LineWriter::writeAll(const std::string &text) const
{
    std::size_t written = 0;
    std::optional<SteadyTime> giveUp;
    while (written < text.size()) {
        // A pipe that nobody reads would hold the thread for good, so that the process couldn't stop.
        pollfd state{this->options.descriptor, POLLOUT, 0};
        const int ready = poll(&state, 1, static_cast<int>(wake.count()));
        if (this->stopping) {
            giveUp = giveUp.value_or(this->options.clock() + lastWrites);
            if (ready == 0 && this->options.clock() >= *giveUp) {
                return false;
            }
        }
        if (ready <= 0) {
            continue;
        }
        const ssize_t count = ::write(this->options.descriptor, text.data() + written, text.size() - written);
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            return false;
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    return true;
}

} // namespace Hyssophall
