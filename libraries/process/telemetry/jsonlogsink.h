#pragma once

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>

namespace Hyssophall {

/// Writes the log of the process as JSON lines while it exists. There is one at most.
class JsonLogSink
{
public:
    /// Appends to @p file, or writes to standard error when it is empty. Errors: TelemetryFileFailure.
    static boost::leaf::result<std::unique_ptr<JsonLogSink>> create(const std::string &file, const std::string &vm);
    ~JsonLogSink();
    JsonLogSink(const JsonLogSink &) = delete;
    JsonLogSink &operator=(const JsonLogSink &) = delete;

private:
    class Sink;

    explicit JsonLogSink(std::unique_ptr<Sink> sink);

    const std::unique_ptr<Sink> sink;
};

} // namespace Hyssophall
