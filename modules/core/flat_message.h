#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <string>
#include <string_view>

namespace mustardcourse {

/** Returns the bytes of a Cap'n Proto message. */
inline std::string flatBytesOf(capnp::MessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

/** Returns a copy of the bytes of a message that is aligned as capnp::FlatArrayMessageReader
    requires. */
inline kj::Array<capnp::word> alignedWordsOf(std::string_view bytes)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    return words;
}

} // namespace mustardcourse
