#pragma once

#include <LibBase/Error.h>
#include <chrono>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

// The codec for messages between processes and for records on disk. Values are encoded as MessagePack arrays.
// Include this header only in implementation files, since it is slow to compile.

namespace Sassafrasshift::Transport::Detail {

// Stands for any visitor in the concept below; it is never called.
struct AnyVisitor {
    template <typename... Fields>
    void operator()(Fields&&...) const;
};

template <typename Value>
concept HasCodecFields = requires(const Value& value)
{
    value.visitCodecFields(AnyVisitor {});
};

// A message of a kind that this version does not know.
struct UnknownAlternative : msgpack::type_error { };

// Decodes an object as the alternative with the wanted index. Throws UnknownAlternative if there is no such index.
template <typename Variant, size_t index = 0>
Variant convertAlternative(size_t wantedIndex, const msgpack::object& object)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (index == wantedIndex)
            return Variant(std::in_place_index<index>, object.as<std::variant_alternative_t<index, Variant>>());
        return convertAlternative<Variant, index + 1>(wantedIndex, object);
    } else {
        throw UnknownAlternative();
    }
}

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    // A type that lists its fields with CODEC_FIELDS is encoded as an array of them. The decoder leaves fields that are
    // missing from the array at their defaults and ignores surplus elements.
    template <typename Value>
    struct convert<Value, std::enable_if_t<Sassafrasshift::Transport::Detail::HasCodecFields<Value>>> {
        const msgpack::object& operator()(const msgpack::object& object, Value& value) const
        {
            if (object.type != msgpack::type::ARRAY)
                throw msgpack::type_error();
            value.visitCodecFields([&](auto&... fields) {
                uint32_t position = 0;
                auto read = [&](auto& field) {
                    if (position < object.via.array.size)
                        object.via.array.ptr[position].convert(field);
                    ++position;
                };
                (read(fields), ...);
            });
            return object;
        }
    };

    template <typename Value>
    struct pack<Value, std::enable_if_t<Sassafrasshift::Transport::Detail::HasCodecFields<Value>>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer, const Value& value) const
        {
            value.visitCodecFields([&](const auto&... fields) {
                packer.pack_array(sizeof...(fields));
                (packer.pack(fields), ...);
            });
            return packer;
        }
    };

    // An enumeration is encoded as its underlying number.
    template <typename Value>
    struct convert<Value, std::enable_if_t<std::is_enum_v<Value>>> {
        const msgpack::object& operator()(const msgpack::object& object, Value& value) const
        {
            value = static_cast<Value>(object.as<std::underlying_type_t<Value>>());
            return object;
        }
    };

    template <typename Value>
    struct pack<Value, std::enable_if_t<std::is_enum_v<Value>>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer, const Value& value) const
        {
            return packer.pack(static_cast<std::underlying_type_t<Value>>(value));
        }
    };

    // A duration is encoded as its number of milliseconds.
    template <>
    struct convert<std::chrono::milliseconds> {
        const msgpack::object& operator()(const msgpack::object& object, std::chrono::milliseconds& value) const
        {
            value = std::chrono::milliseconds(object.as<std::chrono::milliseconds::rep>());
            return object;
        }
    };

    template <>
    struct pack<std::chrono::milliseconds> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer, const std::chrono::milliseconds& value) const
        {
            return packer.pack(value.count());
        }
    };

    // A variant is encoded as an array of the alternative's index and its value.
    template <typename... Alternatives>
    struct convert<std::variant<Alternatives...>> {
        const msgpack::object& operator()(const msgpack::object& object, std::variant<Alternatives...>& value) const
        {
            if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
                throw msgpack::type_error();
            auto index = object.via.array.ptr[0].as<uint32_t>();
            value = Sassafrasshift::Transport::Detail::convertAlternative<std::variant<Alternatives...>>(index, object.via.array.ptr[1]);
            return object;
        }
    };

    template <typename... Alternatives>
    struct pack<std::variant<Alternatives...>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer, const std::variant<Alternatives...>& value) const
        {
            packer.pack_array(2);
            packer.pack(static_cast<uint32_t>(value.index()));
            std::visit([&](const auto& alternative) { packer.pack(alternative); }, value);
            return packer;
        }
    };

    }
}
}

namespace Sassafrasshift::Transport {

/// Levels of nested arrays that the decoder accepts.
inline constexpr size_t maximumNestingDepth = 32;

/// Limits every element count and length to the size of the input, so that a short message cannot make the decoder allocate
/// a large array.
[[nodiscard]] inline msgpack::unpack_limit unpackLimitFor(std::string_view bytes)
{
    return msgpack::unpack_limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), maximumNestingDepth);
}

/// Encodes one value, usually of a type that lists its fields with CODEC_FIELDS.
template <typename Value>
[[nodiscard]] std::string encodeValue(const Value& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

/// Decodes the output of encodeValue(). Fails with Reason::InvalidInput if the bytes do not have the form of the type.
template <typename Value>
[[nodiscard]] ErrorOr<Value> decodeValue(std::string_view bytes)
{
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimitFor(bytes));
        return handle.get().template as<Value>();
    } catch (const std::exception& error) {
        return tl::unexpected(Error::notRun(Reason::InvalidInput, std::string("malformed record: ") + error.what()));
    }
}

/// Encodes one message, a variant, as the index of its alternative followed by the value of the alternative.
template <typename Variant>
[[nodiscard]] std::string encodeMessage(const Variant& message)
{
    return encodeValue(message);
}

/// The messages of a batch.
template <typename Variant>
struct DecodedMessages {
    std::vector<Variant> messages;
    /// The number of messages of kinds that only later versions know. Hosts of two versions run beside each other while they are
    /// replaced one by one.
    size_t unknownKinds { 0 };
};

/// Decodes a concatenation of outputs of encodeMessage(). Fails with Reason::InvalidInput, and without any message, if one of a known
/// kind is malformed.
template <typename Variant>
[[nodiscard]] ErrorOr<DecodedMessages<Variant>> decodeMessages(std::string_view bytes)
{
    DecodedMessages<Variant> decoded;
    size_t offset = 0;
    try {
        while (offset < bytes.size()) {
            auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimitFor(bytes));
            try {
                decoded.messages.push_back(handle.get().template as<Variant>());
            } catch (const Detail::UnknownAlternative&) {
                ++decoded.unknownKinds;
            }
        }
    } catch (const std::exception& error) {
        return tl::unexpected(Error::notRun(Reason::InvalidInput, std::string("malformed message: ") + error.what()));
    }
    return decoded;
}

}
