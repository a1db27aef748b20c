/// Lookup of the socket that belongs to a CivetWeb connection.
#pragma once

struct mg_request_info;

namespace applehatch::process {

/// Returns the descriptor of the connection over which `info` arrived, or -1 when it is not found.
///
/// CivetWeb does not expose the descriptor, and only the socket shows that a caller disconnected
/// before its answer begins. The descriptor stays open while the request's handler runs.
[[nodiscard]] auto findCallerSocket(const mg_request_info &info) -> int;

} // namespace applehatch::process
