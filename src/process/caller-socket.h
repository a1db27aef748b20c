/// Lookup of the socket that belongs to a CivetWeb connection.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

struct mg_request_info;

namespace applehatch::process {

/// Returns the descriptor of the connection over which `info` arrived, or -1 when it is not found.
///
/// CivetWeb does not expose the descriptor, and only the socket shows that a caller disconnected
/// before its answer begins. The descriptor stays open while the request's handler runs.
[[nodiscard]] auto findCallerSocket(const mg_request_info &info) -> int;

/// Returns the address and port of the caller that `info` describes.
[[nodiscard]] auto callerName(const mg_request_info &info) -> std::string;

/// Returns the descriptors of all connections accepted at a port, with the names of their callers.
[[nodiscard]] auto callerSockets(std::uint16_t port) -> std::vector<std::pair<int, std::string>>;

} // namespace applehatch::process
