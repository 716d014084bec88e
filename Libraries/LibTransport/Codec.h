#pragma once

#include <LibBase/Error.h>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

// The codec of the messages between the processes and of the records on disk: MessagePack arrays.
// Only implementation files include it, since it takes long to compile.

namespace Sassafrasshift::Transport::Detail {

struct AnyVisitor {
    template <typename... Fields>
    void operator()(Fields&&...) const;
};

template <typename Value>
concept HasCodecFields = requires(const Value& value)
{
    value.visitCodecFields(AnyVisitor {});
};

template <typename Variant, size_t index = 0>
Variant convertAlternative(size_t wantedIndex, const msgpack::object& object)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (index == wantedIndex)
            return Variant(std::in_place_index<index>, object.as<std::variant_alternative_t<index, Variant>>());
        return convertAlternative<Variant, index + 1>(wantedIndex, object);
    } else {
        throw msgpack::type_error();
    }
}

}

// A variant is an array of the alternative's index and its value.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    // A type with listed fields is an array of them. Missing ones keep their defaults; further ones are ignored.
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

    // An enumeration is its number.
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

inline constexpr size_t maximumNestingDepth = 32;

/// Bounds what a decoder allocates by what it was given, so that a short message cannot claim a long array.
[[nodiscard]] inline msgpack::unpack_limit unpackLimitFor(std::string_view bytes)
{
    return msgpack::unpack_limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), maximumNestingDepth);
}

/// Encodes one value whose fields are listed with CODEC_FIELDS.
template <typename Value>
[[nodiscard]] std::string encodeValue(const Value& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

/// Decodes what encodeValue() wrote. Fails with Reason::InvalidInput where the bytes are of another shape.
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

/// Encodes one alternative of a variant as its index, followed by its fields.
template <typename Variant>
[[nodiscard]] std::string encodeMessage(const Variant& message)
{
    return encodeValue(message);
}

/// Decodes a sequence of what encodeMessage() wrote. Fails as a whole where any of it is malformed.
template <typename Variant>
[[nodiscard]] ErrorOr<std::vector<Variant>> decodeMessages(std::string_view bytes)
{
    std::vector<Variant> messages;
    size_t offset = 0;
    try {
        while (offset < bytes.size()) {
            auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimitFor(bytes));
            messages.push_back(handle.get().template as<Variant>());
        }
    } catch (const std::exception& error) {
        return tl::unexpected(Error::notRun(Reason::InvalidInput, std::string("malformed message: ") + error.what()));
    }
    return messages;
}

}
