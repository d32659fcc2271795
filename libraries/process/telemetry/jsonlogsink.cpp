#include "process/telemetry/jsonlogsink.h"

#include "process/telemetry/spanwriter.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace Hyssophall {

namespace {

constexpr mode_t logFileMode = 0644;

const char *kindName(LineKind kind)
{
    switch (kind) {
    case LineKind::Event:
        return "event";
    case LineKind::Failure:
        return "failure";
    case LineKind::Success:
        break;
    }
    return "success";
}

double wallTime()
{
    const std::chrono::microseconds now = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
    return static_cast<double>(now.count()) / 1e6;
}

} // namespace

class JsonLogSink::Sink : public google::LogSink
{
public:
    Sink(int descriptor, bool owned, std::string vm)
        : vm(std::move(vm))
        , descriptor(descriptor)
        , owned(owned)
        , writer(this->writerOptions())
    {
        google::AddLogSink(this);
    }

    ~Sink() override
    {
        google::RemoveLogSink(this);
    }

    using google::LogSink::send;

    void send(
        google::LogSeverity severity, const char *, const char *fileName, int line, const google::LogMessageTime &, const char *message, std::size_t length)
        override
    {
        this->write(LineKind::Event,
            {{"severity", google::GetLogSeverityName(severity)},
                {"source", std::string(fileName) + ":" + std::to_string(line)},
                {"message", std::string(message, length)}});
    }

    void write(LineKind kind, nlohmann::json fields)
    {
        this->writer.write(kind, this->lineOf(std::move(fields)));
    }

    void closeWriter()
    {
        this->writer.close();
    }

private:
    /// Closes the file after the writer has ended.
    struct File {
        ~File()
        {
            if (this->owned) {
                ::close(this->descriptor);
            }
        }

        int descriptor;
        bool owned;
    };

    LineWriter::Options writerOptions()
    {
        LineWriter::Options options;
        options.descriptor = this->descriptor;
        options.clock = std::chrono::steady_clock::now;
        options.droppedLine = [this](LineKind kind, std::uint64_t count) {
            return this->lineOf({{"severity", "WARNING"}, {"event", "log_lines_dropped"}, {"kind", kindName(kind)}, {"count", count}});
        };
        return options;
    }

    std::string lineOf(nlohmann::json fields) const
    {
        fields["time"] = wallTime();
        fields["vm"] = this->vm;
        return fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    const std::string vm;
    const int descriptor;
    const bool owned;
    const File file{this->descriptor, this->owned};
    LineWriter writer;
};

boost::leaf::result<std::unique_ptr<JsonLogSink>> JsonLogSink::create(const std::string &file, const std::string &vm)
{
    const int descriptor = file.empty() ? STDOUT_FILENO : open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, logFileMode);
    if (descriptor < 0) {
        return boost::leaf::new_error(TelemetryFileFailure{file});
    }
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("hyssophalld");
    }
    // Without destinations of its own, the library writes through the sink alone.
    for (const google::LogSeverity severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
        google::SetLogDestination(severity, "");
    }
    google::SetStderrLogging(google::GLOG_FATAL);
    return std::unique_ptr<JsonLogSink>(new JsonLogSink(std::make_unique<Sink>(descriptor, !file.empty(), vm)));
}

JsonLogSink::JsonLogSink(std::unique_ptr<Sink> sink)
    : sink(std::move(sink))
{
}

JsonLogSink::~JsonLogSink() = default;

void JsonLogSink::write(LineKind kind, nlohmann::json fields)
{
    this->sink->write(kind, std::move(fields));
}

void JsonLogSink::close()
{
    this->sink->closeWriter();
}

} // namespace Hyssophall
