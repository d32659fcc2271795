#pragma once

#include "process/telemetry/linewriter.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace Hyssophall {

/// Writes the log of the process as JSON lines while it exists. There is one at most.
class JsonLogSink
{
public:
    /// Appends to @p file, or writes to standard output when it is empty. Errors: TelemetryFileFailure.
    static boost::leaf::result<std::unique_ptr<JsonLogSink>> create(const std::string &file, const std::string &vm);
    ~JsonLogSink();
    JsonLogSink(const JsonLogSink &) = delete;
    JsonLogSink &operator=(const JsonLogSink &) = delete;

    /// Writes an object of the caller's, with the time and the VM added. Never blocks; see LineWriter for what is dropped.
    void write(LineKind kind, nlohmann::json fields);

    /// As LineWriter::close(); for a process that ends without destroying its objects.
    void close();

private:
    class Sink;

    explicit JsonLogSink(std::unique_ptr<Sink> sink);

    const std::unique_ptr<Sink> sink;
};

} // namespace Hyssophall
