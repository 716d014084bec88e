#pragma once

/// Lists the fields of a type for the codec, in the order in which they are written. The list may only grow at its
/// end, so that a version that knows fewer fields still reads it.
#define CODEC_FIELDS(...)                                    \
    template <typename CodecVisitor>                         \
    auto visitCodecFields(CodecVisitor&& codecVisitor)       \
    {                                                        \
        return codecVisitor(__VA_ARGS__);                    \
    }                                                        \
    template <typename CodecVisitor>                         \
    auto visitCodecFields(CodecVisitor&& codecVisitor) const \
    {                                                        \
        return codecVisitor(__VA_ARGS__);                    \
    }
