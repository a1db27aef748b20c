/// Line numbers of the keys in a JSON text, which the JSON library does not record.
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

/// A key that occurs twice in one object. The JSON library would silently use the later one.
struct DuplicateKey
{
    std::string path;
    std::uint32_t line = 0;
    std::uint32_t firstLine = 0;
};

/// Line numbers of all keys and array elements in a text, by path.
struct Locations
{
    std::map<std::string, std::uint32_t> lines;
    std::vector<DuplicateKey> duplicates;
    bool tooDeep = false;          ///< Objects and arrays nest beyond `maxDepth`.
    std::uint32_t tooDeepLine = 0; ///< Line of the first value nested too deeply.
};

/// Valid settings need five levels of nesting; deeper nesting would only cost stack.
inline constexpr std::size_t maxDepth = 16;

/// Locates all keys in `text`, which must be valid JSON with comments.
[[nodiscard]] auto locate(std::string_view text) -> Locations;

} // namespace applehatch::settings
