#include "process/administration/changeendpoint.h"

#include "process/administration/responses.h"
#include "process/keyhash.h"
#include "version/cataloguejson.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>
#include <thread>
#include <utility>

namespace Hyssophall::Administration {

namespace leaf = boost::leaf;

using nlohmann::json;

namespace {

constexpr std::size_t maximumChangeIdLength = 128;
constexpr std::chrono::milliseconds storePollInterval{10};

/// Parses a JSON object that must have exactly these fields.
leaf::result<json> parseObject(const std::string &body, const std::set<std::string> &names)
{
    BOOST_LEAF_AUTO(object, parseJson(body));
    if (!object.is_object()) {
        return leaf::new_error(InvalidChange{"body", "an object"});
    }
    for (auto field = object.begin(); field != object.end(); ++field) {
        if (!names.contains(field.key())) {
            return leaf::new_error(InvalidChange{field.key(), "no field of this name"});
        }
    }
    for (const std::string &name : names) {
        if (!object.contains(name)) {
            return leaf::new_error(InvalidChange{name, "a value"});
        }
    }
    return object;
}

leaf::result<std::string> readText(const json &object, const std::string &name)
{
    if (!object[name].is_string()) {
        return leaf::new_error(InvalidChange{name, "a string"});
    }
    return object[name].get<std::string>();
}

leaf::result<void> setChangeId(const std::string &id, ControlMessages::CatalogueChange &change)
{
    const bool isPrintable = std::all_of(id.begin(), id.end(), [](unsigned char character) { return std::isgraph(character) != 0; });
    if (id.empty() || id.size() > maximumChangeIdLength || !isPrintable) {
        return leaf::new_error(InvalidChange{"change_id", "1 to 128 printable characters without spaces"});
    }
    change.set_change_id(id);
    return {};
}

/// Reads "change_id" and "expected_version", which every change of the catalogue has.
leaf::result<ControlMessages::CatalogueChange> readHeader(const json &object)
{
    ControlMessages::CatalogueChange change;
    BOOST_LEAF_AUTO(id, readText(object, "change_id"));
    BOOST_LEAF_CHECK(setChangeId(id, change));
    if (!object["expected_version"].is_number_unsigned()) {
        return leaf::new_error(InvalidChange{"expected_version", "the version that the change expects in force"});
    }
    change.set_expected_version(object["expected_version"].get<std::uint64_t>());
    return change;
}

leaf::result<ControlMessages::CatalogueChange> readHeaderFromQuery(const std::map<std::string, std::string> &query)
{
    json object = {{"change_id", query.contains("change_id") ? query.at("change_id") : ""}, {"expected_version", nullptr}};
    if (query.contains("expected_version")) {
        const std::string &text = query.at("expected_version");
        std::uint64_t version = 0;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), version);
        if (parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()) {
            object["expected_version"] = version;
        }
    }
    return readHeader(object);
}

} // namespace

ChangeEndpoint::ChangeEndpoint(const Hooks &hooks, const Configuration &configuration, ProgressTracker &progress)
    : hooks(hooks)
    , configuration(configuration)
    , progress(progress)
{
}

leaf::result<HttpResponse> ChangeEndpoint::change(const HttpRequest &request, const std::string &operatorName) const
{
    BOOST_LEAF_AUTO(object, parseObject(request.body, {"change_id", "expected_version", "change"}));
    BOOST_LEAF_AUTO(change, readHeader(object));
    BOOST_LEAF_ASSIGN(*change.mutable_change(), changeFromJson(object["change"]));
    BOOST_LEAF_AUTO(outcome, this->propose(std::move(change), operatorName));
    return this->changeResponse(outcome);
}

leaf::result<HttpResponse> ChangeEndpoint::createKey(const HttpRequest &request, const std::string &operatorName) const
{
    BOOST_LEAF_AUTO(object, parseObject(request.body, {"change_id", "expected_version", "id", "team"}));
    BOOST_LEAF_AUTO(change, readHeader(object));
    BOOST_LEAF_AUTO(id, readText(object, "id"));
    BOOST_LEAF_AUTO(team, readText(object, "team"));
    const std::string key = createRandomKey();
    CatalogueMessages::Key &entry = *change.mutable_change()->mutable_put_key();
    entry.set_id(id);
    entry.set_team(team);
    entry.set_hash(hashBytes(hashKey(key)));
    BOOST_LEAF_AUTO(outcome, this->propose(std::move(change), operatorName));
    if (outcome.result() != ControlMessages::ChangeOutcome::RESULT_ACCEPTED) {
        return this->changeResponse(outcome);
    }
    return this->createdKeyResponse(outcome, key, id);
}

leaf::result<HttpResponse> ChangeEndpoint::withdrawKey(const HttpRequest &request, const std::string &operatorName) const
{
    BOOST_LEAF_AUTO(change, readHeaderFromQuery(request.query));
    change.mutable_change()->set_withdraw_key(request.segments.back());
    BOOST_LEAF_AUTO(outcome, this->propose(std::move(change), operatorName));
    return this->changeResponse(outcome);
}

leaf::result<ControlMessages::ChangeOutcome> ChangeEndpoint::propose(ControlMessages::CatalogueChange change, const std::string &operatorName) const
{
    change.set_operator_name(operatorName);
    return this->hooks.proposer->propose(change, this->hooks.clock() + this->configuration.decisionTimeout);
}

HttpResponse ChangeEndpoint::changeResponse(const ControlMessages::ChangeOutcome &outcome) const
{
    const std::shared_ptr<const Catalogue> catalogue = this->hooks.store->current();
    return outcomeResponse(outcome, progressJson(this->progress.progress(outcome.version(), catalogue->roster(), this->hooks.members->members())));
}

/// A retry with the same change id gets the outcome of the first request, but @p key is a new random one that was never stored.
/// So the response contains the key only if its hash is in the catalogue.
HttpResponse ChangeEndpoint::createdKeyResponse(const ControlMessages::ChangeOutcome &outcome, const std::string &key, const std::string &id) const
{
    const SteadyTime deadline = this->hooks.clock() + this->configuration.decisionTimeout;
    while (this->hooks.store->current()->version() < outcome.version()) {
        if (this->hooks.clock() >= deadline) {
            return errorResponse(504, "outcome_unknown", "the key was accepted, but this VM hasn't got the version; withdraw the key and create another");
        }
        std::this_thread::sleep_for(storePollInterval);
    }
    const std::shared_ptr<const CatalogueMessages::Key> present = this->hooks.store->current()->findKey(hashKey(key));
    if (present == nullptr || present->id() != id) {
        return errorResponse(409, "key_already_created", "this change id created the key before and keys are answered once; withdraw it and create another");
    }
    return jsonResponse(200, {{"result", "accepted"}, {"change_id", outcome.change_id()}, {"version", outcome.version()}, {"id", id}, {"key", key}});
}

} // namespace Hyssophall::Administration
