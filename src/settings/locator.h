/// Lines of the keys of a JSON text, which the JSON library does not keep.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::settings {

/// Path of a key within its object, such as `pools.drafting`.
[[nodiscard]] auto joinPath(const std::string &path, const std::string &key) -> std::string;

/// Path of an element of an array, such as `members[2]`.
[[nodiscard]] auto joinPath(const std::string &path, std::size_t element) -> std::string;

/// The line of the byte at `offset`, from 1.
[[nodiscard]] auto lineAt(std::string_view text, std::size_t offset) -> std::uint32_t;

/// A key that stands twice in one object. The JSON library would silently take the later one.
struct DuplicateKey
{
    std::string path;
    std::uint32_t line = 0;
    std::uint32_t firstLine = 0;
};

/// Where each key of a text stands.
struct Locations
{
    std::map<std::string, std::uint32_t> lines;
    std::vector<DuplicateKey> duplicates;
    bool tooDeep = false;          ///< Objects and arrays nest beyond `maxDepth`.
    std::uint32_t tooDeepLine = 0; ///< Where they do.
};

/// Settings nest five levels deep; more would only cost stack.
inline constexpr std::size_t maxDepth = 16;

/// Finds all keys of `text`, which must be valid JSON with comments.
[[nodiscard]] auto locate(std::string_view text) -> Locations;

} // namespace applehatch::settings
