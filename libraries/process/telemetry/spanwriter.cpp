#include "process/telemetry/spanwriter.h"

#include "process/telemetry/spanjson.h"

#include <utility>

namespace Hyssophall {

namespace {

// Bounds how long a written span stays in the process's buffer.
constexpr std::chrono::milliseconds flushInterval{200};

} // namespace

boost::leaf::result<std::unique_ptr<SpanWriter>> SpanWriter::create(const std::string &file, const std::string &vm)
{
    std::ofstream stream(file, std::ios::app);
    if (!stream) {
        return boost::leaf::new_error(TelemetryFileFailure{file});
    }
    return std::unique_ptr<SpanWriter>(new SpanWriter(std::move(stream), vm));
}

SpanWriter::SpanWriter(std::ofstream file, std::string vm)
    : file(std::move(file))
    , vm(std::move(vm))
    , ring(SpanWriter::capacity)
    , writer([this] { this->write(); })
{
}

SpanWriter::~SpanWriter()
{
    this->close();
}

void SpanWriter::close()
{
    this->stopping = true;
    this->ring.close();
    if (this->writer.joinable()) {
        this->writer.join();
    }
}

void SpanWriter::requestFinished(const RequestRecord &record)
{
    if (record.trace.isSampled() && !this->ring.tryPush(record)) {
        ++this->dropped;
    }
}

std::uint64_t SpanWriter::droppedRequests() const
{
    return this->dropped;
}

void SpanWriter::write()
{
    for (;;) {
        const std::optional<RequestRecord> record = this->ring.popUntil(std::chrono::steady_clock::now() + flushInterval);
        if (record) {
            this->file << spanLine(*record, this->vm) << '\n';
            continue;
        }
        this->file.flush();
        if (this->stopping) {
            return;
        }
    }
}

} // namespace Hyssophall
