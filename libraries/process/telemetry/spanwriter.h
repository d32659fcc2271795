#pragma once

#include "process/boundedring.h"
#include "request/requestrecord.h"

#include <boost/leaf/result.hpp>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

namespace Hyssophall {

/// A file for spans or log lines can't be opened. Source: SpanWriter::create(), JsonLogSink::create().
struct TelemetryFileFailure {
    std::string file;
};

/// Appends the spans of finished requests to a file, on a thread of its own. Spans are dropped when the file is too slow.
class SpanWriter : public RequestObserver
{
public:
    /// Requests that wait to be written.
    static constexpr std::size_t capacity = 4096;

    /// @p vm is the id of this VM. Errors: TelemetryFileFailure.
    static boost::leaf::result<std::unique_ptr<SpanWriter>> create(const std::string &file, const std::string &vm);

    /// Closes the writer.
    ~SpanWriter() override;

    /// Writes what is waiting. Later spans are dropped.
    void close();

    void requestFinished(const RequestRecord &record) override;

    std::uint64_t droppedRequests() const;

private:
    SpanWriter(std::ofstream file, std::string vm);
    void write();

    std::ofstream file;
    const std::string vm;
    BoundedRing<RequestRecord> ring;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> dropped{0};
    std::thread writer;
};

} // namespace Hyssophall
