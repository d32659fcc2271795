#include "process/telemetry/jsonlogsink.h"

#include "process/telemetry/spanwriter.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <mutex>
#include <utility>

namespace Hyssophall {

class JsonLogSink::Sink : public google::LogSink
{
public:
    Sink(std::ofstream file, std::string vm)
        : file(std::move(file))
        , vm(std::move(vm))
    {
        google::AddLogSink(this);
    }

    ~Sink() override
    {
        google::RemoveLogSink(this);
    }

    using google::LogSink::send;

    void send(
        google::LogSeverity severity, const char *, const char *fileName, int line, const google::LogMessageTime &time, const char *message, std::size_t length)
        override
    {
        const nlohmann::json entry{{"time", static_cast<double>(time.timestamp()) + static_cast<double>(time.usec()) / 1e6},
            {"severity", google::GetLogSeverityName(severity)},
            {"vm", this->vm},
            {"source", std::string(fileName) + ":" + std::to_string(line)},
            {"message", std::string(message, length)}};
        const std::string text = entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        std::lock_guard<std::mutex> lock(this->mutex);
        std::ostream &stream = this->file.is_open() ? static_cast<std::ostream &>(this->file) : std::cerr;
        stream << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    const std::string vm;
};

boost::leaf::result<std::unique_ptr<JsonLogSink>> JsonLogSink::create(const std::string &file, const std::string &vm)
{
    std::ofstream stream;
    if (!file.empty()) {
        stream.open(file, std::ios::app);
        if (!stream) {
            return boost::leaf::new_error(TelemetryFileFailure{file});
        }
    }
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("hyssophalld");
    }
    // Without destinations of its own, the library writes through the sink alone.
    for (const google::LogSeverity severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    google::SetStderrLogging(google::GLOG_FATAL);
    return std::unique_ptr<JsonLogSink>(new JsonLogSink(std::make_unique<Sink>(std::move(stream), vm)));
}

JsonLogSink::JsonLogSink(std::unique_ptr<Sink> sink)
    : sink(std::move(sink))
{
}

JsonLogSink::~JsonLogSink() = default;

} // namespace Hyssophall
