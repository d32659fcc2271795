#pragma once

#include "version/catalogue.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Hyssophall {

/**
 * Conversion between the catalogue's messages and JSON, for the administration API. Field names are those of the .proto file. Hashes are
 * lower-case hexadecimal digits, 64-bit numbers are strings of decimal digits (numbers are accepted too), and a route class is
 * "idempotent" or "non_idempotent".
 *
 * Parsing is strict: unknown fields, duplicate fields and wrong types are errors. Missing fields get their default values, which
 * Catalogue::applied() validates.
 */

/// Parses JSON and rejects objects with duplicate fields. Errors: InvalidChange with the field "body".
boost::leaf::result<nlohmann::json> parseJson(std::string_view text);

/// Converts an entry: a Service, Route, Team, Key or Member.
nlohmann::json entryToJson(const google::protobuf::Message &entry);

/// Reads the fields of @p json into @p entry. Errors: InvalidChange, whose field starts with @p path, as in "team.rate" for "team".
boost::leaf::result<void> entryFromJson(const nlohmann::json &json, const std::string &path, google::protobuf::Message &entry);

/// Converts a change to an object with one field, as in {"put_team":{...}} or {"remove_team":"name"}.
nlohmann::json changeToJson(const CatalogueMessages::Change &change);

/// Reads a change from an object as changeToJson() returns it. Errors: InvalidChange, with field names as in Catalogue::applied(), such as "team.rate".
boost::leaf::result<CatalogueMessages::Change> changeFromJson(const nlohmann::json &json);

/// Converts the whole catalogue except the hashes of keys and tokens, which must not leave the fleet.
nlohmann::json snapshotToJsonWithoutHashes(const CatalogueMessages::Snapshot &snapshot);

} // namespace Hyssophall
