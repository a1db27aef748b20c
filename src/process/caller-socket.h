/// The socket behind one of CivetWeb's connections.
#pragma once

struct mg_request_info;

namespace applehatch::process {

/// The descriptor of the connection that `info` came over; negative when it is not found.
///
/// The library does not give it out, and only it shows that a caller left before an answer begins.
/// It stays open while the request's handler runs.
[[nodiscard]] auto findCallerSocket(const mg_request_info &info) -> int;

} // namespace applehatch::process
