/// Checked reading of a JSON text, collecting every problem.
#pragma once

#include "applehatch/settings/settings.h"
#include "locator.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace applehatch::settings {

using Json = nlohmann::json;

/// What was found in place of what a key takes, short enough for one line.
[[nodiscard]] auto describe(const Json &value) -> std::string;

/// The problems of one text, each with the line of its key.
class Report
{
public:
    explicit Report(Locations locations);

    /// `expected` and `found` become one sentence.
    auto add(const std::string &path, const std::string &expected, const std::string &found)
        -> void;

    /// All problems in the order of their lines.
    [[nodiscard]] auto problems() const -> std::vector<Problem>;
    [[nodiscard]] auto empty() const -> bool { return problems_.empty(); }

private:
    [[nodiscard]] auto lineOf(std::string path) const -> std::optional<std::uint32_t>;

    Locations locations_;
    std::vector<Problem> problems_;
};

/// A text as JSON with its lines, or the problem that keeps it from being JSON at all.
struct Document
{
    Json root;
    Locations locations;
    std::vector<Problem> problems;
};

/// Parses `text`, refusing more than `limit` bytes, duplicate keys and deep nesting.
[[nodiscard]] auto parseDocument(const std::string &text, std::size_t limit) -> Document;

enum class Need {
    Required,
    Optional,
};

/// What a text value takes.
struct TextRule
{
    std::string expected;
    std::function<bool(const std::string &)> accepts;
};

/// Up to 100 letters, digits, `.`, `_` and `-`, so that names can be joined with slashes.
[[nodiscard]] auto nameRule() -> TextRule;

template <typename Number>
struct Range
{
    Number least;
    Number most;
};

/// Reads the keys of one object; what is wrong goes into the report.
class ObjectReader
{
public:
    /// A `value` that is no object is reported, and reads as an empty one.
    ObjectReader(const Json &value, std::string path, Report &report);

    [[nodiscard]] auto path() const -> const std::string & { return path_; }
    [[nodiscard]] auto path(const std::string &key) const -> std::string;
    [[nodiscard]] auto has(const std::string &key) const -> bool;

    /// False when the value was no object; then nothing of it is worth reporting.
    [[nodiscard]] auto usable() const -> bool { return usable_; }

    /// Reports without reading; the key counts as known.
    auto refuse(const std::string &key, const std::string &expected) -> void;

    auto text(const std::string &key, Need need, const TextRule &rule, std::string &into) -> void;
    auto whole(const std::string &key, Need need, Range<std::uint32_t> range, std::uint32_t &into)
        -> void;
    auto real(const std::string &key, Range<double> range, double &into) -> void;
    auto milliseconds(const std::string &key, Range<std::uint32_t> range, Duration &into) -> void;
    auto flag(const std::string &key, bool &into) -> void;
    auto address(const std::string &key, Need need, std::uint16_t leastPort, Address &into) -> void;

    /// The value of a key for the caller to check further; null when absent or of another type.
    [[nodiscard]] auto object(const std::string &key, Need need) -> const Json *;
    [[nodiscard]] auto array(const std::string &key, Need need) -> const Json *;

    /// Reports each key that was never asked for.
    auto refuseUnknown() -> void;

private:
    [[nodiscard]] auto find(const std::string &key, Need need, const std::string &expected)
        -> const Json *;
    auto wrong(const std::string &key, const std::string &expected, const Json &found) -> void;

    const Json &value_;
    std::string path_;
    Report &report_;
    bool usable_ = true;
    std::set<std::string> known_;
};

/// `ip:port` by IPv4 number; none when it is anything else.
[[nodiscard]] auto parseAddress(const std::string &text, std::uint16_t leastPort)
    -> std::optional<Address>;

/// True when `text` holds no control character.
[[nodiscard]] auto isPrintable(const std::string &text) -> bool;

} // namespace applehatch::settings
