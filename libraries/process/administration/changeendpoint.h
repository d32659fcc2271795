#pragma once

#include "process/administration/hooks.h"
#include "process/administration/httpmessage.h"
#include "process/administration/progresstracker.h"

#include <boost/leaf/result.hpp>

#include <string>

namespace Hyssophall::Administration {

/// Changes of the catalogue and its keys by operators. Errors of all functions: InvalidChange, ControlUnavailable.
class ChangeEndpoint
{
public:
    /// All of these outlive the endpoint.
    ChangeEndpoint(const Hooks &hooks, const Configuration &configuration, ProgressTracker &progress);

    /// POST /v1/changes.
    boost::leaf::result<HttpResponse> change(const HttpRequest &request, const std::string &operatorName) const;

    /// POST /v1/keys: creates a random key, proposes its hash and answers the key once.
    boost::leaf::result<HttpResponse> createKey(const HttpRequest &request, const std::string &operatorName) const;

    /// DELETE /v1/keys/<id>?change_id=...&expected_version=...
    boost::leaf::result<HttpResponse> withdrawKey(const HttpRequest &request, const std::string &operatorName) const;

private:
    boost::leaf::result<ControlMessages::ChangeOutcome> propose(ControlMessages::CatalogueChange change, const std::string &operatorName) const;
    HttpResponse decidedAnswer(const ControlMessages::ChangeOutcome &outcome) const;
    HttpResponse createdKeyAnswer(const ControlMessages::ChangeOutcome &outcome, const std::string &key, const std::string &id) const;

    const Hooks &hooks;
    const Configuration &configuration;
    ProgressTracker &progress;
};

} // namespace Hyssophall::Administration
