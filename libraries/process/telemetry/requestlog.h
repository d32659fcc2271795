#pragma once

#include "process/telemetry/linewriter.h"
#include "request/requestrecord.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace Hyssophall {

/// Writes one line for each finished request: what was decided, on what grounds, each try with its outcome, and the answer.
class RequestLog : public RequestObserver
{
public:
    using Write = std::function<void(LineKind, nlohmann::json)>;

    explicit RequestLog(Write write);

    void requestFinished(const RequestRecord &record) override;

private:
    const Write write;
};

} // namespace Hyssophall
