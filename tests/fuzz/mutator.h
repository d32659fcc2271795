#pragma once

#include <google/protobuf/message.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace HyssophallTest {

/// Changes seeds of a corpus into hostile inputs; the same seed number gives the same inputs on each run.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed);

    std::size_t below(std::size_t limit);

    /// One entry of the corpus with up to 8 changes: flipped, removed, doubled and inserted bytes, a cut, or a part of another entry.
    std::string mutated(const std::vector<std::string> &corpus);

    /// Fills a message with values at and beyond the limits of their types, NaN, unknown enum values and empty texts.
    void fill(google::protobuf::Message &message, int depth = 0);

private:
    void change(std::string &text, const std::vector<std::string> &corpus);
    std::string text();
    std::uint64_t number();
    double real();
    void fillField(google::protobuf::Message &message, const google::protobuf::FieldDescriptor &field, int depth);
    template<typename Value>
    void put(google::protobuf::Message &message,
        const google::protobuf::FieldDescriptor &field,
        Value value,
        void (google::protobuf::Reflection::*set)(google::protobuf::Message *, const google::protobuf::FieldDescriptor *, Value) const,
        void (google::protobuf::Reflection::*add)(google::protobuf::Message *, const google::protobuf::FieldDescriptor *, Value) const);

    std::mt19937_64 random;
};

} // namespace HyssophallTest
