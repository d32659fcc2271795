#include "entryarguments.h"

#include "process/keyhash.h"
#include "version/cataloguejson.h"

#include <boost/leaf/error.hpp>
#include <google/protobuf/descriptor.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Hyssophall::CommandLine {

namespace leaf = boost::leaf;

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using nlohmann::json;

namespace {

json listFromText(const std::string &text)
{
    json list = json::array();
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        list.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return list;
}

json valueFromText(const FieldDescriptor &field, const std::string &text)
{
    if (field.is_repeated()) {
        return listFromText(text);
    }
    const FieldDescriptor::CppType type = field.cpp_type();
    if (type == FieldDescriptor::CPPTYPE_STRING || type == FieldDescriptor::CPPTYPE_ENUM || type == FieldDescriptor::CPPTYPE_UINT64) {
        return text;
    }
    // What is no number or truth value stays text, so that the administration API refuses it with the field's expected value.
    const json parsed = json::parse(text, nullptr, false);
    return parsed.is_discarded() ? json(text) : parsed;
}

leaf::result<void> addField(const Descriptor &type, const std::string &word, json &entry)
{
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
        return leaf::new_error(InvalidWord{"'" + word + "' is not name=value"});
    }
    std::string name = word.substr(0, equals);
    std::string text = word.substr(equals + 1);
    if (name == "announce_token") {
        name = "announce_token_hash";
        text = hexadecimal(hashKey(text));
    }
    const FieldDescriptor *field = type.FindFieldByName(name);
    if (field == nullptr) {
        return leaf::new_error(InvalidWord{type.name() + " has no field '" + name + "'"});
    }
    if (entry.contains(name)) {
        return leaf::new_error(InvalidWord{"'" + name + "' is given twice"});
    }
    entry[name] = valueFromText(*field, text);
    return {};
}

} // namespace

leaf::result<json> entryFromWords(const std::string &kind, const Words &words)
{
    if (words.size() == 1 && !words.front().empty() && words.front().front() == '{') {
        json entry = json::parse(words.front(), nullptr, false);
        if (entry.is_discarded()) {
            return leaf::new_error(InvalidWord{"the entry is no JSON"});
        }
        return entry;
    }
    if (words.empty()) {
        return leaf::new_error(InvalidWord{"an entry is needed as name=value ... or as JSON"});
    }
    json entry = json::object();
    const Descriptor &type = *CatalogueMessages::Change::descriptor()->FindFieldByName(kind)->message_type();
    for (const std::string &word : words) {
        BOOST_LEAF_CHECK(addField(type, word, entry));
    }
    return entry;
}

} // namespace Hyssophall::CommandLine
