#pragma once

#include "version/catalogue.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Hyssophall {

/**
 * The JSON form of the catalogue's messages: the fields' names are those of the .proto file, hashes are lower-case hexadecimal digits,
 * 64-bit numbers are strings of digits (accepted as numbers, too), and a route class is "idempotent" or "non_idempotent".
 *
 * Reading is strict: unknown fields, repeated fields and wrong types are refused. Missing fields get their defaults, which
 * Catalogue::applied() judges.
 */

/// Parses text in which no object has a field twice. Errors: InvalidChange, whose field is "body".
boost::leaf::result<nlohmann::json> parseJson(std::string_view text);

/// An entry (Service, Route, Team, Key or Member).
nlohmann::json entryToJson(const google::protobuf::Message &entry);

/// Reads an entry; @p path begins the field in errors, as in "team". Errors: InvalidChange.
boost::leaf::result<void> entryFromJson(const nlohmann::json &json, const std::string &path, google::protobuf::Message &entry);

/// A change is an object with one field, as in {"put_team":{...}} or {"remove_team":"name"}.
nlohmann::json changeToJson(const CatalogueMessages::Change &change);

/// Errors: InvalidChange with the field as Catalogue::applied() names it, as in "team.rate".
boost::leaf::result<CatalogueMessages::Change> changeFromJson(const nlohmann::json &json);

/// The whole catalogue without the hashes of keys and tokens.
nlohmann::json snapshotToJsonWithoutHashes(const CatalogueMessages::Snapshot &snapshot);

} // namespace Hyssophall
