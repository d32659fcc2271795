#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"
#include "process/administration/progresstracker.h"

#include <boost/leaf/result.hpp>

#include <string>

namespace Hyssophall::Administration {

/// Operators' changes of the catalogue and its keys. Errors of all functions: InvalidChange, ControlUnavailable.
class ChangeEndpoint
{
public:
    /// The arguments must outlive the endpoint.
    ChangeEndpoint(const Hooks &hooks, const Configuration &configuration, ProgressTracker &progress);

    /// POST /v1/changes: proposes a change of the catalogue.
    boost::leaf::result<HttpResponse> change(const HttpRequest &request, const std::string &operatorName) const;

    /// POST /v1/keys: creates a random key and proposes its hash. The response to the first request is the only one that contains the key.
    boost::leaf::result<HttpResponse> createKey(const HttpRequest &request, const std::string &operatorName) const;

    /// DELETE /v1/keys/<id>?change_id=...&expected_version=...: withdraws a key.
    boost::leaf::result<HttpResponse> withdrawKey(const HttpRequest &request, const std::string &operatorName) const;

private:
    boost::leaf::result<ControlMessages::ChangeOutcome> propose(ControlMessages::CatalogueChange change, const std::string &operatorName) const;
    HttpResponse changeResponse(const ControlMessages::ChangeOutcome &outcome) const;
    HttpResponse createdKeyResponse(const ControlMessages::ChangeOutcome &outcome, const std::string &key, const std::string &id) const;

    const Hooks &hooks;
    const Configuration &configuration;
    ProgressTracker &progress;
};

} // namespace Hyssophall::Administration
