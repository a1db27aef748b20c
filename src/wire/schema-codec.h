/// Messages and digests to and from their Cap'n Proto structs.
#pragma once

#include "applehatch/core/message.h"
#include "generated/applehatch.capnp.h"

#include <optional>

namespace applehatch::wire {

auto write(const core::Digest &from, schema::Digest::Builder to) -> void;
auto write(const core::Message &from, schema::Message::Builder to) -> void;

/// None when a value is out of range or the message is of no known kind. Throws `kj::Exception`
/// on malformed pointers or when a read limit is passed; the caller guards the whole read.
[[nodiscard]] auto read(schema::Digest::Reader from) -> std::optional<core::Digest>;
[[nodiscard]] auto read(schema::Message::Reader from) -> std::optional<core::Message>;

} // namespace applehatch::wire
