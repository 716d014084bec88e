#pragma once

/// Lists the fields of a type for the codec, in the order in which they are encoded. Add fields only at the end of the list,
/// so that versions of the software that know fewer fields can still decode the type.
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
