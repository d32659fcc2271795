#include "fuzz/mutator.h"

#include <algorithm>
#include <array>
#include <limits>

namespace HyssophallTest {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

namespace {

constexpr int maximumDepth = 4;

} // namespace

Mutator::Mutator(std::uint64_t seed)
    : random(seed)
{
}

std::size_t Mutator::below(std::size_t limit)
{
    return static_cast<std::size_t>(this->random() % limit);
}

std::string Mutator::mutated(const std::vector<std::string> &corpus)
{
    std::string text = corpus[this->below(corpus.size())];
    for (std::size_t changes = this->below(8) + 1; changes > 0; --changes) {
        this->change(text, corpus);
    }
    return text;
}

void Mutator::change(std::string &text, const std::vector<std::string> &corpus)
{
    static const std::vector<std::string> pieces{"\0",
        "\xff",
        "%00",
        "%",
        "-1",
        "99999999999999999999",
        "1e999",
        "null",
        "{",
        "[[[[",
        "\"",
        "\r\n",
        "\n",
        ":",
        "=",
        ";",
        " ",
        "\\ud800",
        "nan",
        "_",
        "..",
        "/",
        std::string(300, 'a'),
        std::string(1, '\0')};
    const std::size_t position = this->below(text.size() + 1);
    const std::size_t length = std::min(this->below(16), text.size() - position);
    switch (this->below(6)) {
    case 0:
        if (position < text.size()) {
            text[position] = static_cast<char>(text[position] ^ static_cast<char>(1U << this->below(8)));
        }
        return;
    case 1:
        text.erase(position, length);
        return;
    case 2:
        text.insert(position, text.substr(position, length));
        return;
    case 3:
        text.insert(position, pieces[this->below(pieces.size())]);
        return;
    case 4: {
        const std::string &other = corpus[this->below(corpus.size())];
        text.insert(position, other.substr(this->below(other.size() + 1), this->below(32)));
        return;
    }
    default:
        if (this->below(4) == 0) {
            text.resize(position);
        }
    }
}

std::string Mutator::text()
{
    static const std::vector<std::string> texts{"", "a", "b", "orders", "red", "shard:1", "vm:a", "127.0.0.1", "x", std::string(1000, 'y')};
    return texts[this->below(texts.size())];
}

std::uint64_t Mutator::number()
{
    static constexpr std::array<std::uint64_t, 12> numbers{0, 1, 2, 3, 7, 65536, UINT32_MAX, UINT32_MAX - 1ULL, 1ULL << 63U, UINT64_MAX, UINT64_MAX - 1, 1000};
    return this->below(4) == 0 ? this->random() : numbers[this->below(numbers.size())];
}

double Mutator::real()
{
    using Limits = std::numeric_limits<double>;
    static constexpr std::array<double, 10> reals{
        0, 1, -1, 0.5, 100, Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity(), Limits::max(), Limits::denorm_min()};
    return reals[this->below(reals.size())];
}

template<typename Value>
void Mutator::put(Message &message,
    const FieldDescriptor &field,
    Value value,
    void (Reflection::*set)(Message *, const FieldDescriptor *, Value) const,
    void (Reflection::*add)(Message *, const FieldDescriptor *, Value) const)
{
    (message.GetReflection()->*(field.is_repeated() ? add : set))(&message, &field, value);
}

void Mutator::fillField(Message &message, const FieldDescriptor &field, int depth)
{
    const Reflection &reflection = *message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
        if (depth < maximumDepth) {
            this->fill(field.is_repeated() ? *reflection.AddMessage(&message, &field) : *reflection.MutableMessage(&message, &field), depth + 1);
        }
        return;
    case FieldDescriptor::CPPTYPE_STRING:
        this->put<std::string>(message, field, this->text(), &Reflection::SetString, &Reflection::AddString);
        return;
    case FieldDescriptor::CPPTYPE_ENUM:
        this->put<int>(message, field, static_cast<int>(this->below(8)) - 1, &Reflection::SetEnumValue, &Reflection::AddEnumValue);
        return;
    case FieldDescriptor::CPPTYPE_BOOL:
        this->put<bool>(message, field, this->below(2) == 0, &Reflection::SetBool, &Reflection::AddBool);
        return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        this->put<double>(message, field, this->real(), &Reflection::SetDouble, &Reflection::AddDouble);
        return;
    case FieldDescriptor::CPPTYPE_UINT32:
        this->put<std::uint32_t>(message, field, static_cast<std::uint32_t>(this->number()), &Reflection::SetUInt32, &Reflection::AddUInt32);
        return;
    case FieldDescriptor::CPPTYPE_UINT64:
        this->put<std::uint64_t>(message, field, this->number(), &Reflection::SetUInt64, &Reflection::AddUInt64);
        return;
    case FieldDescriptor::CPPTYPE_INT64:
        this->put<std::int64_t>(message, field, static_cast<std::int64_t>(this->number()), &Reflection::SetInt64, &Reflection::AddInt64);
        return;
    default:
        return;
    }
}

void Mutator::fill(Message &message, int depth)
{
    const google::protobuf::Descriptor &descriptor = *message.GetDescriptor();
    for (int index = 0; index < descriptor.field_count(); ++index) {
        const FieldDescriptor &field = *descriptor.field(index);
        for (std::size_t count = field.is_repeated() ? this->below(5) : this->below(4) > 0; count > 0; --count) {
            this->fillField(message, field, depth);
        }
    }
    if (this->below(4) == 0) {
        // As a newer version would send it.
        message.GetReflection()->MutableUnknownFields(&message)->AddVarint(9000, this->random());
    }
}

} // namespace HyssophallTest
