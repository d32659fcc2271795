#include "version/cataloguejson.h"

#include <boost/leaf/error.hpp>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Hyssophall {

namespace leaf = boost::leaf;

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using nlohmann::json;

namespace {

constexpr std::string_view hexadecimalDigits = "0123456789abcdef";
constexpr std::size_t maximumNesting = 16;

std::string toHexadecimal(const std::string &bytes)
{
    std::string text;
    for (const char byte : bytes) {
        text += hexadecimalDigits[static_cast<std::uint8_t>(byte) >> 4U];
        text += hexadecimalDigits[static_cast<std::uint8_t>(byte) & 15U];
    }
    return text;
}

std::optional<std::string> fromHexadecimal(const std::string &text)
{
    std::string bytes;
    for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
        const std::size_t high = hexadecimalDigits.find(text[index]);
        const std::size_t low = hexadecimalDigits.find(text[index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        bytes += static_cast<char>(high << 4U | low);
    }
    return text.size() % 2 == 0 ? std::optional<std::string>(bytes) : std::nullopt;
}

/// Converts "ROUTE_CLASS_NON_IDEMPOTENT" of RouteClass to "non_idempotent". The prefix to remove is taken from value 0, whose name is the prefix and
/// "UNSPECIFIED".
std::string enumName(const EnumValueDescriptor &value)
{
    const std::string &unspecified = value.type()->FindValueByNumber(0)->name();
    std::string name = value.name().substr(unspecified.size() - std::string_view("UNSPECIFIED").size());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

const EnumValueDescriptor *findEnumValue(const EnumDescriptor &type, const std::string &name)
{
    for (int index = 0; index < type.value_count(); ++index) {
        if (type.value(index)->number() != 0 && enumName(*type.value(index)) == name) {
            return type.value(index);
        }
    }
    return nullptr;
}

std::string expectedEnum(const EnumDescriptor &type)
{
    std::string names;
    for (int index = 0; index < type.value_count(); ++index) {
        if (type.value(index)->number() != 0) {
            names += (names.empty() ? "" : " or ") + enumName(*type.value(index));
        }
    }
    return names;
}

std::optional<std::uint64_t> readUnsigned(const json &value, std::uint64_t maximum, bool allowsString)
{
    std::uint64_t number = 0;
    if (value.is_number_unsigned()) {
        number = value.get<std::uint64_t>();
    } else if (allowsString && value.is_string()) {
        const std::string &text = value.get_ref<const std::string &>();
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return std::nullopt;
        }
    } else {
        return std::nullopt;
    }
    return number <= maximum ? std::optional<std::uint64_t>(number) : std::nullopt;
}

json fieldToJson(const Message &message, const FieldDescriptor &field)
{
    const Reflection &reflection = *message.GetReflection();
    if (field.is_repeated()) {
        json list = json::array();
        for (int index = 0; index < reflection.FieldSize(message, &field); ++index) {
            const bool isEntry = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
            list.push_back(
                isEntry ? entryToJson(reflection.GetRepeatedMessage(message, &field, index)) : json(reflection.GetRepeatedString(message, &field, index)));
        }
        return list;
    }
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection.GetBool(message, &field);
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return reflection.GetDouble(message, &field);
    case FieldDescriptor::CPPTYPE_UINT32:
        return reflection.GetUInt32(message, &field);
    case FieldDescriptor::CPPTYPE_UINT64:
        // Many JSON parsers store numbers as doubles, which are exact only up to 53 bits.
        return std::to_string(reflection.GetUInt64(message, &field));
    case FieldDescriptor::CPPTYPE_ENUM:
        return enumName(*reflection.GetEnum(message, &field));
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return entryToJson(reflection.GetMessage(message, &field));
    default:
        return field.type() == FieldDescriptor::TYPE_BYTES ? toHexadecimal(reflection.GetString(message, &field)) : reflection.GetString(message, &field);
    }
}

leaf::result<void> textFromJson(const json &value, const std::string &path, Message &message, const FieldDescriptor &field)
{
    if (!value.is_string()) {
        return leaf::new_error(InvalidChange{path, "a string"});
    }
    const std::string &text = value.get_ref<const std::string &>();
    const Reflection &reflection = *message.GetReflection();
    if (field.type() != FieldDescriptor::TYPE_BYTES) {
        reflection.SetString(&message, &field, text);
        return {};
    }
    std::optional<std::string> bytes = fromHexadecimal(text);
    if (!bytes) {
        return leaf::new_error(InvalidChange{path, "lower-case hexadecimal digits"});
    }
    reflection.SetString(&message, &field, std::move(*bytes));
    return {};
}

leaf::result<void> unsignedFromJson(const json &value, const std::string &path, Message &message, const FieldDescriptor &field)
{
    const bool isShort = field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32;
    const std::uint64_t maximum = isShort ? std::numeric_limits<std::uint32_t>::max() : std::numeric_limits<std::uint64_t>::max();
    const std::optional<std::uint64_t> number = readUnsigned(value, maximum, !isShort);
    if (!number) {
        return leaf::new_error(InvalidChange{path, "a whole number from 0 to " + std::to_string(maximum)});
    }
    if (isShort) {
        message.GetReflection()->SetUInt32(&message, &field, static_cast<std::uint32_t>(*number));
    } else {
        message.GetReflection()->SetUInt64(&message, &field, *number);
    }
    return {};
}

leaf::result<void> enumFromJson(const json &value, const std::string &path, Message &message, const FieldDescriptor &field)
{
    const EnumValueDescriptor *found = value.is_string() ? findEnumValue(*field.enum_type(), value.get<std::string>()) : nullptr;
    if (found == nullptr) {
        return leaf::new_error(InvalidChange{path, expectedEnum(*field.enum_type())});
    }
    message.GetReflection()->SetEnum(&message, &field, found);
    return {};
}

leaf::result<void> entriesFromJson(const json &value, const std::string &path, Message &message, const FieldDescriptor &field)
{
    if (!value.is_array()) {
        return leaf::new_error(InvalidChange{path, "a list of objects"});
    }
    for (const json &item : value) {
        BOOST_LEAF_CHECK(entryFromJson(item, path, *message.GetReflection()->AddMessage(&message, &field)));
    }
    return {};
}

leaf::result<void> listFromJson(const json &value, const std::string &path, Message &message, const FieldDescriptor &field)
{
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        return entriesFromJson(value, path, message, field);
    }
    if (!value.is_array() || !std::all_of(value.begin(), value.end(), [](const json &item) { return item.is_string(); })) {
        return leaf::new_error(InvalidChange{path, "a list of strings"});
    }
    for (const json &item : value) {
        message.GetReflection()->AddString(&message, &field, item.get<std::string>());
    }
    return {};
}

leaf::result<void> fieldFromJson(const json &value, const std::string &path, Message &message, const FieldDescriptor &field)
{
    if (field.is_repeated()) {
        return listFromJson(value, path, message, field);
    }
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
        if (!value.is_boolean()) {
            return leaf::new_error(InvalidChange{path, "true or false"});
        }
        message.GetReflection()->SetBool(&message, &field, value.get<bool>());
        return {};
    case FieldDescriptor::CPPTYPE_DOUBLE:
        if (!value.is_number()) {
            return leaf::new_error(InvalidChange{path, "a number"});
        }
        message.GetReflection()->SetDouble(&message, &field, value.get<double>());
        return {};
    case FieldDescriptor::CPPTYPE_UINT32:
    case FieldDescriptor::CPPTYPE_UINT64:
        return unsignedFromJson(value, path, message, field);
    case FieldDescriptor::CPPTYPE_ENUM:
        return enumFromJson(value, path, message, field);
    default:
        return textFromJson(value, path, message, field);
    }
}

/// The name of an entry in errors, equal to the one that Catalogue::applied() uses: "team" for the change "put_team".
std::string entryPath(const FieldDescriptor &kind)
{
    std::string name = kind.message_type()->name();
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

template<typename Entries>
json listWithoutHashes(const Entries &entries)
{
    json list = json::array();
    for (const Message &entry : entries) {
        json object = entryToJson(entry);
        object.erase("hash");
        object.erase("announce_token_hash");
        list.push_back(std::move(object));
    }
    return list;
}

} // namespace

leaf::result<json> parseJson(std::string_view text)
{
    bool isValid = true;
    std::vector<std::set<std::string>> fields;
    const json::parser_callback_t checkEvent = [&](int depth, json::parse_event_t event, json &parsed) {
        if (event == json::parse_event_t::object_start) {
            fields.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            fields.pop_back();
        } else if (event == json::parse_event_t::key && !fields.back().insert(parsed.get<std::string>()).second) {
            isValid = false;
        }
        isValid = isValid && static_cast<std::size_t>(depth) <= maximumNesting;
        return isValid;
    };
    json parsed = json::parse(text, checkEvent, false);
    if (!isValid || parsed.is_discarded()) {
        return leaf::new_error(InvalidChange{"body", "JSON without repeated fields"});
    }
    return parsed;
}

json entryToJson(const Message &entry)
{
    json object = json::object();
    const Descriptor &descriptor = *entry.GetDescriptor();
    for (int index = 0; index < descriptor.field_count(); ++index) {
        object[descriptor.field(index)->name()] = fieldToJson(entry, *descriptor.field(index));
    }
    return object;
}

leaf::result<void> entryFromJson(const json &object, const std::string &path, Message &entry)
{
    if (!object.is_object()) {
        return leaf::new_error(InvalidChange{path, "an object"});
    }
    for (auto member = object.begin(); member != object.end(); ++member) {
        const std::string &name = member.key();
        const json &value = member.value();
        const FieldDescriptor *field = entry.GetDescriptor()->FindFieldByName(name);
        if (field == nullptr) {
            return leaf::new_error(InvalidChange{path + "." + name, "no field of this name"});
        }
        BOOST_LEAF_CHECK(fieldFromJson(value, path + "." + name, entry, *field));
    }
    return {};
}

json changeToJson(const CatalogueMessages::Change &change)
{
    json object = json::object();
    const FieldDescriptor *kind = change.GetReflection()->GetOneofFieldDescriptor(change, change.GetDescriptor()->oneof_decl(0));
    if (kind != nullptr) {
        object[kind->name()] = fieldToJson(change, *kind);
    }
    return object;
}

leaf::result<CatalogueMessages::Change> changeFromJson(const json &object)
{
    if (!object.is_object() || object.size() != 1) {
        return leaf::new_error(InvalidChange{"change", "an object with exactly one kind of change"});
    }
    CatalogueMessages::Change change;
    const std::string &name = object.begin().key();
    const FieldDescriptor *kind = change.GetDescriptor()->FindFieldByName(name);
    if (kind == nullptr) {
        return leaf::new_error(InvalidChange{"change." + name, "a kind of change"});
    }
    if (kind->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        BOOST_LEAF_CHECK(entryFromJson(object.front(), entryPath(*kind), *change.GetReflection()->MutableMessage(&change, kind)));
    } else {
        BOOST_LEAF_CHECK(textFromJson(object.front(), name, change, *kind));
    }
    return change;
}

json snapshotToJsonWithoutHashes(const CatalogueMessages::Snapshot &snapshot)
{
    return {
        {"version", snapshot.version()},
        {"roster_version", snapshot.roster_version()},
        {"services", listWithoutHashes(snapshot.services())},
        {"routes", listWithoutHashes(snapshot.routes())},
        {"teams", listWithoutHashes(snapshot.teams())},
        {"keys", listWithoutHashes(snapshot.keys())},
        {"members", listWithoutHashes(snapshot.members())},
    };
}

} // namespace Hyssophall
