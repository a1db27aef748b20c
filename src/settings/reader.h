/// Validating reader of JSON texts that collects all problems.
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

/// Describes a value for an error message; long values are shortened to fit on one line.
[[nodiscard]] auto describe(const Json &value) -> std::string;

/// Collects the problems of one text, each with the line of its key.
class Report
{
public:
    explicit Report(Locations locations);

    /// Adds a problem with the text "expected `expected`, found `found`".
    auto add(const std::string &path, const std::string &expected, const std::string &found)
        -> void;

    /// Returns all problems, ordered by line.
    [[nodiscard]] auto problems() const -> std::vector<Problem>;
    [[nodiscard]] auto empty() const -> bool { return problems_.empty(); }

private:
    [[nodiscard]] auto lineOf(std::string path) const -> std::optional<std::uint32_t>;

    Locations locations_;
    std::vector<Problem> problems_;
};

/// A parsed JSON text with the lines of its keys, or the problems that prevent its use.
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

/// Constraint on a string value and its description for error messages.
struct TextRule
{
    std::string expected;
    std::function<bool(const std::string &)> accepts;
};

/// Accepts 1 to 100 letters, digits, `.`, `_` and `-`, so that names can be joined with slashes.
[[nodiscard]] auto nameRule() -> TextRule;

template <typename Number>
struct Range
{
    Number min;
    Number max;
};

/// Reads the keys of one JSON object and adds problems to a report.
class ObjectReader
{
public:
    /// Reports a `value` that is not an object and treats it as an empty object.
    ObjectReader(const Json &value, std::string path, Report &report);

    [[nodiscard]] auto path() const -> const std::string & { return path_; }
    [[nodiscard]] auto path(const std::string &key) const -> std::string;
    [[nodiscard]] auto has(const std::string &key) const -> bool;

    /// False when the value is not an object; its missing keys are then not reported.
    [[nodiscard]] auto usable() const -> bool { return usable_; }

    /// Reports a key without reading it and marks it as known.
    auto refuse(const std::string &key, const std::string &expected) -> void;

    auto text(const std::string &key, Need need, const TextRule &rule, std::string &into) -> void;
    auto integer(const std::string &key, Need need, Range<std::uint32_t> range, std::uint32_t &into)
        -> void;
    auto number(const std::string &key, Range<double> range, double &into) -> void;
    auto milliseconds(const std::string &key, Range<std::uint32_t> range, Duration &into) -> void;
    auto flag(const std::string &key, bool &into) -> void;
    auto address(const std::string &key, Need need, std::uint16_t minPort, Address &into) -> void;

    /// Returns the value of a key for further checks; null when absent or of another type.
    [[nodiscard]] auto object(const std::string &key, Need need) -> const Json *;
    [[nodiscard]] auto array(const std::string &key, Need need) -> const Json *;

    /// Reports each key that was neither read nor refused.
    auto refuseUnknown() -> void;

private:
    [[nodiscard]] auto find(const std::string &key, Need need, const std::string &expected)
        -> const Json *;
    auto reportMismatch(const std::string &key, const std::string &expected, const Json &found)
        -> void;

    const Json &value_;
    std::string path_;
    Report &report_;
    bool usable_ = true;
    std::set<std::string> known_;
};

/// Parses `ip:port` with a numeric IPv4 address; returns nothing for any other text.
[[nodiscard]] auto parseAddress(const std::string &text, std::uint16_t minPort)
    -> std::optional<Address>;

/// Returns whether `text` contains no control characters.
[[nodiscard]] auto isPrintable(const std::string &text) -> bool;

} // namespace applehatch::settings
