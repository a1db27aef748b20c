#include "reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace applehatch::settings {

namespace {

constexpr std::size_t maxDescribedLength = 60;
constexpr std::size_t maxNameLength = 100;

auto emptyObject() -> const Json &
{
    static const Json empty = Json::object();
    return empty;
}

template <typename Number>
auto rangeText(const std::string &kind, Range<Number> range) -> std::string
{
    return kind + " from " + Json(range.min).dump() + " to " + Json(range.max).dump();
}

/// Parses decimal digits as a number up to `max`; accepts no sign and no leading zero.
auto parseDigits(std::string_view digits, std::uint32_t max) -> std::optional<std::uint32_t>
{
    std::uint32_t number = 0;
    const auto *end = digits.data() + digits.size();
    const auto [stop, failed] = std::from_chars(digits.data(), end, number);
    const auto padded = digits.size() > 1 && digits.front() == '0';
    if (failed != std::errc() || stop != end || padded || number > max) {
        return std::nullopt;
    }
    return number;
}

auto isIpNumber(std::string_view text) -> bool
{
    constexpr std::uint32_t maxByte = 255;
    for (auto part = 0; part < 4; ++part) {
        const auto dot = part < 3 ? text.find('.') : text.size();
        if (dot == std::string_view::npos || !parseDigits(text.substr(0, dot), maxByte)) {
            return false;
        }
        text.remove_prefix(std::min(dot + 1, text.size()));
    }
    return true;
}

} // namespace

auto isPrintable(const std::string &text) -> bool
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char del = 0x7f;
    return std::none_of(text.begin(), text.end(), [](unsigned char character) {
        return character < firstPrintable || character == del;
    });
}

auto describe(const Json &value) -> std::string
{
    switch (value.type()) {
    case Json::value_t::object:
        return "an object";
    case Json::value_t::array:
        return "an array";
    case Json::value_t::null:
        return "null";
    default:
        break;
    }
    const auto text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
    return text.size() <= maxDescribedLength ? text : text.substr(0, maxDescribedLength) + "...";
}

Report::Report(Locations locations)
    : locations_(std::move(locations))
{ }

auto Report::add(const std::string &path, const std::string &expected, const std::string &found)
    -> void
{
    problems_.push_back({path, lineOf(path), "expected " + expected + ", found " + found});
}

auto Report::problems() const -> std::vector<Problem>
{
    auto sorted = problems_;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Problem &left, const Problem &right) {
        return left.line < right.line;
    });
    return sorted;
}

/// Returns the line of a key; for a missing key, the line of the object that lacks it.
auto Report::lineOf(std::string path) const -> std::optional<std::uint32_t>
{
    while (!path.empty()) {
        const auto found = locations_.lines.find(path);
        if (found != locations_.lines.end()) {
            return found->second;
        }
        const auto parent = path.find_last_of(".[");
        path.resize(parent == std::string::npos ? 0 : parent);
    }
    return 1;
}

auto parseDocument(const std::string &text, std::size_t limit) -> Document
{
    Document document;
    if (text.size() > limit) {
        document.problems.push_back({"", std::nullopt,
                                     "expected at most " + std::to_string(limit) + " bytes, found "
                                         + std::to_string(text.size())});
        return document;
    }
    try {
        document.root = Json::parse(text, nullptr, true, true);
    } catch (const Json::exception &error) {
        const auto *parseError = dynamic_cast<const Json::parse_error *>(&error);
        const auto offset =
            parseError == nullptr || parseError->byte == 0 ? 0 : parseError->byte - 1;
        document.problems.push_back(
            {"", lineAt(text, offset),
             std::string("expected JSON with comments, found ") + error.what()});
        return document;
    }
    document.locations = locate(text);
    if (document.locations.tooDeep) {
        document.problems.push_back(
            {"", document.locations.tooDeepLine,
             "expected at most " + std::to_string(maxDepth) + " levels of nesting, found more"});
    }
    for (const auto &duplicate : document.locations.duplicates) {
        document.problems.push_back({duplicate.path, duplicate.line,
                                     "expected each key once, found it on line "
                                         + std::to_string(duplicate.firstLine) + " already"});
    }
    return document;
}

auto nameRule() -> TextRule
{
    return {"a name of 1 to 100 letters, digits, '.', '_' or '-'", [](const std::string &text) {
                return !text.empty() && text.size() <= maxNameLength
                    && std::all_of(text.begin(), text.end(), [](unsigned char character) {
                           return std::isalnum(character) != 0 || character == '.'
                               || character == '_' || character == '-';
                       });
            }};
}

auto parseAddress(const std::string &text, std::uint16_t minPort) -> std::optional<Address>
{
    constexpr std::uint32_t maxPort = 65535;
    const auto colon = text.find(':');
    if (colon == std::string::npos || !isIpNumber(std::string_view(text).substr(0, colon))) {
        return std::nullopt;
    }
    const auto port = parseDigits(std::string_view(text).substr(colon + 1), maxPort);
    if (!port || *port < minPort) {
        return std::nullopt;
    }
    return Address{text.substr(0, colon), static_cast<std::uint16_t>(*port)};
}

ObjectReader::ObjectReader(const Json &value, std::string path, Report &report)
    : value_(value.is_object() ? value : emptyObject())
    , path_(std::move(path))
    , report_(report)
    , usable_(value.is_object())
{
    if (!usable_) {
        report_.add(path_, "an object", describe(value));
    }
}

auto ObjectReader::path(const std::string &key) const -> std::string
{
    return joinPath(path_, key);
}

auto ObjectReader::has(const std::string &key) const -> bool
{
    return value_.contains(key);
}

auto ObjectReader::refuse(const std::string &key, const std::string &expected) -> void
{
    known_.insert(key);
    report_.add(path(key), expected, has(key) ? describe(value_.at(key)) : "nothing");
}

auto ObjectReader::find(const std::string &key, Need need, const std::string &expected)
    -> const Json *
{
    known_.insert(key);
    const auto found = value_.find(key);
    if (found != value_.end()) {
        return &*found;
    }
    if (need == Need::Required && usable_) {
        report_.add(path(key), expected, "nothing");
    }
    return nullptr;
}

auto ObjectReader::reportMismatch(const std::string &key, const std::string &expected,
                                  const Json &found) -> void
{
    report_.add(path(key), expected, describe(found));
}

auto ObjectReader::text(const std::string &key, Need need, const TextRule &rule, std::string &into)
    -> void
{
    const auto *found = find(key, need, rule.expected);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string() || !isPrintable(found->get_ref<const std::string &>())
        || !rule.accepts(found->get_ref<const std::string &>())) {
        reportMismatch(key, rule.expected, *found);
        return;
    }
    into = found->get<std::string>();
}

auto ObjectReader::integer(const std::string &key, Need need, Range<std::uint32_t> range,
                           std::uint32_t &into) -> void
{
    const auto expected = rangeText("a whole number", range);
    const auto *found = find(key, need, expected);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() < range.min
        || found->get<std::uint64_t>() > range.max) {
        reportMismatch(key, expected, *found);
        return;
    }
    into = found->get<std::uint32_t>();
}

auto ObjectReader::number(const std::string &key, Range<double> range, double &into) -> void
{
    const auto expected = rangeText("a number", range);
    const auto *found = find(key, Need::Optional, expected);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number() || found->get<double>() < range.min
        || found->get<double>() > range.max) {
        reportMismatch(key, expected, *found);
        return;
    }
    into = found->get<double>();
}

auto ObjectReader::milliseconds(const std::string &key, Range<std::uint32_t> range, Duration &into)
    -> void
{
    auto count = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(into).count());
    integer(key, Need::Optional, range, count);
    into = std::chrono::milliseconds(count);
}

auto ObjectReader::flag(const std::string &key, bool &into) -> void
{
    const auto *found = find(key, Need::Optional, "true or false");
    if (found == nullptr) {
        return;
    }
    if (!found->is_boolean()) {
        reportMismatch(key, "true or false", *found);
        return;
    }
    into = found->get<bool>();
}

auto ObjectReader::address(const std::string &key, Need need, std::uint16_t minPort, Address &into)
    -> void
{
    std::string text;
    const auto accepts = [minPort](const std::string &value) {
        return parseAddress(value, minPort).has_value();
    };
    const auto minPortText = std::to_string(minPort);
    this->text(
        key, need,
        {"an address such as \"127.0.0.1:8080\" with a port from " + minPortText + " to 65535",
         accepts},
        text);
    into = parseAddress(text, minPort).value_or(Address());
}

auto ObjectReader::object(const std::string &key, Need need) -> const Json *
{
    const auto *found = find(key, need, "an object");
    if (found != nullptr && !found->is_object()) {
        reportMismatch(key, "an object", *found);
        return nullptr;
    }
    return found;
}

auto ObjectReader::array(const std::string &key, Need need) -> const Json *
{
    const auto *found = find(key, need, "an array");
    if (found != nullptr && !found->is_array()) {
        reportMismatch(key, "an array", *found);
        return nullptr;
    }
    return found;
}

auto ObjectReader::refuseUnknown() -> void
{
    for (const auto &[key, value] : value_.items()) {
        if (known_.count(key) == 0) {
            report_.add(path(key), "a known key", "an unknown one");
        }
    }
}

} // namespace applehatch::settings
